package io.hornbeamscale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpServer;
import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.external.CallPolicy;
import io.hornbeamscale.external.HttpVmList;
import io.hornbeamscale.external.PlatformIo;
import io.hornbeamscale.external.VmList;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against one malformed entry that keeps a process from following the VM list. */
class MalformedVmListTest {
    private static final String FIRST = vm("n1", "10.0.0.1:1", "live");
    private static final String SECOND = vm("n2", "10.0.0.2:1", "live");

    private final PlatformIo io = new PlatformIo(new Random(1));
    private volatile String body = "";
    private HttpServer server;
    private VmList list;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            byte[] bytes = ("{\"vms\":[" + body + "]}").getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        server.start();
        list = new HttpVmList(io, server.getAddress(), new CallPolicy(2_000, 400, 5, 40));
    }

    @AfterEach
    void stop() {
        io.close();
        server.stop(0);
    }

    private static String vm(String node, String address, String state) {
        return "{\"node\":\"" + node + "\",\"role\":\"entry\",\"address\":\"" + address
                + "\",\"region\":\"r\",\"zone\":\"z\",\"state\":\"" + state + "\"}";
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "7",
                "null",
                "[[[[]]]]",
                "{\"node\":\"n2\",\"role\":7}",
                "{\"node\":\"n3\",\"region\":1e999}"
            })
    void keepsTheOtherEntriesAndTheLastRecordOfTheNode(String odd) throws Exception {
        body = FIRST + "," + SECOND;
        List<VmRecord> before = list.read().toCompletableFuture().get().orElseThrow();
        body = vm("n1", "10.0.0.1:1", "leaving") + "," + odd;
        List<VmRecord> after = list.read().toCompletableFuture().get().orElseThrow();
        assertEquals("n1", after.get(0).node().value());
        assertEquals(true, after.get(0).isLeaving());
        assertEquals(odd.contains("n2") ? List.of(before.get(1)) : List.of(), after.subList(1, after.size()));
    }
}
