package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.audit.PublishResult;
import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.Sha256;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.standin.StandInFault;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against entries and agents that miss a published version or revert to an older one, and against requests that
 * are sent to a VM listed as leaving.
 */
class ControlPlaneTest {
    private static final String SECOND_KEY = "sk-test-second-0123456789";
    private static final int ALL_CALLS = 1_000_000;

    @TempDir
    private Path directory;

    private ControlPlaneDeployment deployment;

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void publishedVersionTakesEffectEverywhereWithoutRestart() throws Exception {
        deployment = new ControlPlaneDeployment(directory, 1);
        deployment.startEntries(3);
        assertInstanceOf(PublishResult.Published.class, deployment.publish(deployment.document, 0));
        deployment.awaitVersion(1);
        awaitAgents();
        for (String entry : deployment.entries.keySet()) {
            assertEquals(200, deployment.complete(entry, TestSettings.API_KEY));
            assertEquals(401, deployment.complete(entry, SECOND_KEY));
        }
        assertInstanceOf(PublishResult.Published.class, deployment.publish(withKey(SECOND_KEY), 1));
        deployment.awaitVersion(2);
        for (String entry : deployment.entries.keySet()) {
            assertEquals(200, deployment.complete(entry, SECOND_KEY));
        }
    }

    @Test
    void startingEntryReceivesTheVersionFromPeersWhileTheStoreIsDown() throws Exception {
        deployment = new ControlPlaneDeployment(directory, 1);
        deployment.startEntries(2);
        deployment.publish(deployment.document, 0);
        deployment.awaitVersion(1);
        awaitAgents();
        deployment.store.faults().arm(new StandInFault.Refuse(503), ALL_CALLS);
        PublishResult refused = deployment.publish(withKey(SECOND_KEY), 1);
        PublishResult.Failed failed = assertInstanceOf(PublishResult.Failed.class, refused);
        assertEquals(ErrorKind.STORE_UNAVAILABLE, failed.kind());
        assertEquals(RunOutcome.NOT_RUN, failed.outcome());
        assertTrue(failed.message().contains("Nothing was published"), failed.message());
        deployment.startEntry("e9");
        deployment.awaitVersion(1);
        awaitAgents();
        for (String entry : deployment.entries.keySet()) {
            assertEquals(200, deployment.complete(entry, TestSettings.API_KEY));
        }
    }

    @Test
    void staleReadFromTheStoreDoesNotRevertTheVersion() throws Exception {
        deployment = new ControlPlaneDeployment(directory, 1);
        deployment.startEntries(2);
        deployment.publish(deployment.document, 0);
        deployment.publish(withKey(SECOND_KEY), 1);
        deployment.publish(withKey("sk-test-third-0123456789"), 2);
        deployment.awaitVersion(3);
        deployment.store.faults().arm(new StandInFault.ReturnOlderValue(2), ALL_CALLS);
        deployment.stopEntry("e1");
        EntryDaemon restarted = deployment.startEntry("e1");
        List<Long> seen = new ArrayList<>();
        Await.until("the restarted entry has a version", () -> {
            seen.add(restarted.configVersion());
            return restarted.configVersion() > 0;
        });
        assertTrue(seen.stream().allMatch(version -> version == 0 || version == 3), seen.toString());
        deployment.awaitVersion(3);
    }

    @Test
    void leavingVmReceivesNoNewRequest() throws Exception {
        deployment = new ControlPlaneDeployment(directory, 2);
        deployment.startEntries(2);
        deployment.publish(deployment.document, 0);
        deployment.awaitVersion(1);
        awaitAgents();
        deployment.markLeaving("m0", 0);
        Await.until(
                "the agent of the leaving VM drains",
                () -> deployment.agents.get(0).isDrained());
        long before = deployment.engines.get(0).startedGenerations();
        for (int i = 0; i < 20; i++) {
            assertEquals(200, deployment.complete("e" + i % 2, TestSettings.API_KEY));
        }
        assertEquals(before, deployment.engines.get(0).startedGenerations());
        assertEquals(20, deployment.engines.get(1).startedGenerations());
    }

    private void awaitAgents() throws InterruptedException {
        for (EntryDaemon entry : deployment.entries.values()) {
            Await.until(
                    "the entry has received the status of every agent",
                    () -> entry.knownAgents() == deployment.agents.size());
        }
    }

    private Document withKey(String key) {
        Document d = deployment.document;
        CustomerSpec c = d.customers().get(0);
        List<String> hashes = new ArrayList<>(c.keyHashes());
        hashes.add(Sha256.hex(key));
        CustomerSpec changed = new CustomerSpec(
                c.name(), hashes, c.services(), c.weight(), c.requestsPerSecond(), c.tokensPerSecond());
        return new Document(
                d.services(), List.of(changed), d.models(), d.workKinds(), d.backends(), d.regions(), d.limits());
    }
}
