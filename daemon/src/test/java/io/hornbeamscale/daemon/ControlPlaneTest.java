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

/** Guards against entries and agents that miss a version, fall back to an older one, or use a leaving VM. */
class ControlPlaneTest {
    private static final String SECOND_KEY = "sk-test-second-0123456789";
    private static final int ALWAYS = 1_000_000;

    @TempDir
    private Path directory;

    private ControlSite site;

    @AfterEach
    void stop() {
        site.close();
    }

    @Test
    void publishedVersionTakesEffectEverywhereWithoutRestart() throws Exception {
        site = new ControlSite(directory, 1);
        site.startEntries(3);
        assertInstanceOf(PublishResult.Published.class, site.publish(site.document, 0));
        site.awaitVersion(1);
        awaitAgents();
        for (String entry : site.entries.keySet()) {
            assertEquals(200, site.complete(entry, TestSite.KEY));
            assertEquals(401, site.complete(entry, SECOND_KEY));
        }
        assertInstanceOf(PublishResult.Published.class, site.publish(withKey(SECOND_KEY), 1));
        site.awaitVersion(2);
        for (String entry : site.entries.keySet()) {
            assertEquals(200, site.complete(entry, SECOND_KEY));
        }
    }

    @Test
    void startingEntryLearnsFromPeersWhileTheStoreIsDown() throws Exception {
        site = new ControlSite(directory, 1);
        site.startEntries(2);
        site.publish(site.document, 0);
        site.awaitVersion(1);
        awaitAgents();
        site.store.faults().arm(new StandInFault.Refuse(503), ALWAYS);
        PublishResult refused = site.publish(withKey(SECOND_KEY), 1);
        PublishResult.Failed failed = assertInstanceOf(PublishResult.Failed.class, refused);
        assertEquals(ErrorKind.STORE_UNAVAILABLE, failed.kind());
        assertEquals(RunOutcome.NOT_RUN, failed.outcome());
        assertTrue(failed.message().contains("Nothing was published"), failed.message());
        site.startEntry("e9");
        site.awaitVersion(1);
        awaitAgents();
        for (String entry : site.entries.keySet()) {
            assertEquals(200, site.complete(entry, TestSite.KEY));
        }
    }

    @Test
    void olderValueOfTheStoreRevertsNothing() throws Exception {
        site = new ControlSite(directory, 1);
        site.startEntries(2);
        site.publish(site.document, 0);
        site.publish(withKey(SECOND_KEY), 1);
        site.publish(withKey("sk-test-third-0123456789"), 2);
        site.awaitVersion(3);
        site.store.faults().arm(new StandInFault.ReturnOlderValue(2), ALWAYS);
        site.stopEntry("e1");
        EntryDaemon restarted = site.startEntry("e1");
        List<Long> seen = new ArrayList<>();
        Await.until("the restarted entry has a version", () -> {
            seen.add(restarted.configVersion());
            return restarted.configVersion() > 0;
        });
        assertTrue(seen.stream().allMatch(version -> version == 0 || version == 3), seen.toString());
        site.awaitVersion(3);
    }

    @Test
    void leavingVmReceivesNoNewRequest() throws Exception {
        site = new ControlSite(directory, 2);
        site.startEntries(2);
        site.publish(site.document, 0);
        site.awaitVersion(1);
        awaitAgents();
        site.markLeaving("m0", 0);
        Await.until(
                "the agent of the leaving VM drains", () -> site.agents.get(0).isDrained());
        long before = site.engines.get(0).startedGenerations();
        for (int i = 0; i < 20; i++) {
            assertEquals(200, site.complete("e" + i % 2, TestSite.KEY));
        }
        assertEquals(before, site.engines.get(0).startedGenerations());
        assertEquals(20, site.engines.get(1).startedGenerations());
    }

    private void awaitAgents() throws InterruptedException {
        for (EntryDaemon entry : site.entries.values()) {
            Await.until("the agents are known", () -> entry.knownAgents() == site.agents.size());
        }
    }

    private Document withKey(String key) {
        Document d = site.document;
        CustomerSpec c = d.customers().get(0);
        List<String> hashes = new ArrayList<>(c.keyHashes());
        hashes.add(Sha256.hex(key));
        CustomerSpec changed = new CustomerSpec(
                c.name(), hashes, c.services(), c.weight(), c.requestsPerSecond(), c.tokensPerSecond());
        return new Document(
                d.services(), List.of(changed), d.models(), d.workKinds(), d.backends(), d.regions(), d.limits());
    }
}
