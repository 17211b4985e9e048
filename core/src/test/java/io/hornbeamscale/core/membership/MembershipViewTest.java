package io.hornbeamscale.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against new work for a leaving node, and against a node that receives no work after its restart. */
class MembershipViewTest {
    private static final NodeId A = new NodeId("a");
    private static final long ISSUER = 1;

    private final MembershipView view = new MembershipView(vm("self", false), ISSUER, new Random(1));

    static Stream<Arguments> evidence() {
        return Stream.of(
                evidence("list", v -> v.vmListRead(List.of(vm("a", true)), 10)),
                evidence("own report", v -> v.nodeReported(vm("a", false), 5, true, 10)),
                evidence("reclaim notice or refusal", v -> v.leaving(A, 5, 10)),
                evidence("refusal without incarnation", v -> v.leaving(A, 0, 10)),
                evidence("peer", v -> v.noticesReceived(List.of(peerNotice(5, 1)), 10)),
                evidence("peer without incarnation", v -> v.noticesReceived(List.of(peerNotice(0, 1)), 10)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("evidence")
    void leavingStopsNewWorkForTheRestOfTheIncarnation(
            String name, Function<MembershipView, List<MembershipAction>> evidence) {
        view.nodeReported(vm("a", false), 5, false, 0);
        List<MembershipAction> actions = evidence.apply(view);
        assertTrue(actions.stream().anyMatch(a -> a instanceof MembershipAction.StopUsingMember), name);
        view.vmListRead(List.of(vm("a", false)), 20);
        view.nodeReported(vm("a", false), 5, false, 30);
        view.connectionLost(A, 40);
        view.nodeReported(vm("a", false), 5, false, 50);
        assertEquals(MemberState.LEAVING, state());
    }

    @Nested
    class NewIncarnation {
        @Test
        void isUsedAgain() {
            view.nodeReported(vm("a", false), 5, false, 0);
            view.leaving(A, 5, 10);
            view.nodeReported(vm("a", false), 6, false, 20);
            assertEquals(MemberState.LIVE, state());
        }

        @Test
        void isNotStoppedByLateFramesOfTheOldIncarnation() {
            view.nodeReported(vm("a", false), 5, false, 0);
            view.noticesReceived(List.of(peerNotice(0, 1)), 10);
            view.nodeReported(vm("a", false), 6, false, 20);
            view.noticesReceived(List.of(peerNotice(0, 1)), 200_000);
            view.noticesReceived(List.of(peerNotice(5, 2)), 200_000);
            view.nodeReported(vm("a", false), 5, true, 200_000);
            view.leaving(A, 5, 200_000);
            assertEquals(MemberState.LIVE, state());
        }
    }

    @Test
    void ignoresAListEntryOfTheReplacedVm() {
        view.nodeReported(vm("a", false), 5, false, 0);
        view.nodeReported(
                new VmRecord(A, "entry", "127.0.0.1:2", new RegionId("amman"), new ZoneId("z"), false), 6, false, 10);
        view.vmListRead(List.of(vm("a", true)), 20);
        assertEquals(MemberState.LIVE, state());
        assertEquals("127.0.0.1:2", view.find(A).orElseThrow().address());
    }

    @Test
    void keepsANoticeThatArrivesBeforeTheMember() {
        view.noticesReceived(List.of(peerNotice(0, 1)), 0);
        view.nodeReported(vm("a", false), 5, false, 10);
        assertEquals(MemberState.LEAVING, state());
    }

    @Test
    void stopsWorkAfterALostConnectionUntilTheNodeReports() {
        view.nodeReported(vm("a", false), 5, false, 0);
        view.connectionLost(A, 10);
        assertEquals(MemberState.SUSPECT, state());
        view.vmListRead(List.of(vm("a", false)), 20);
        assertEquals(MemberState.SUSPECT, state());
        view.nodeReported(vm("a", false), 5, false, 30);
        assertEquals(MemberState.LIVE, state());
    }

    @Test
    void drainsTheLocalNodeOnce() {
        List<MembershipAction> actions = new ArrayList<>(view.vmListRead(List.of(vm("self", true)), 0));
        actions.addAll(view.vmListRead(List.of(vm("self", true)), 10));
        assertEquals(
                1,
                actions.stream()
                        .filter(a -> a instanceof MembershipAction.DrainSelf)
                        .count());
    }

    @Test
    void removesMembersAfterALongAbsenceButNotForAnEmptyList() {
        view.vmListRead(List.of(vm("a", false)), 0);
        view.vmListRead(List.of(), 100_000);
        assertTrue(view.find(A).isPresent());
        view.vmListRead(List.of(vm("b", false)), 100_000);
        assertFalse(view.find(A).isPresent());
    }

    @Test
    void choosesExactlyTwoWatchersPerRegion() {
        List<VmRecord> vms =
                Stream.of("a", "b", "c", "d", "e").map(n -> vm(n, false)).toList();
        long watchers = vms.stream()
                .filter(v -> {
                    MembershipView other = new MembershipView(v, 1, new Random(1));
                    other.vmListRead(vms, 0);
                    return other.isWatcher();
                })
                .count();
        assertEquals(2, watchers);
    }

    private MemberState state() {
        return view.find(A).orElseThrow().state();
    }

    private static Arguments evidence(String name, Function<MembershipView, List<MembershipAction>> evidence) {
        return Arguments.of(name, evidence);
    }

    private static LeavingNotice peerNotice(long incarnation, long sequence) {
        return new LeavingNotice(A, incarnation, new NodeId("peer"), ISSUER, sequence);
    }

    private static VmRecord vm(String name, boolean isLeaving) {
        return new VmRecord(
                new NodeId(name), "entry", "127.0.0.1:1", new RegionId("amman"), new ZoneId("amman-a"), isLeaving);
    }
}
