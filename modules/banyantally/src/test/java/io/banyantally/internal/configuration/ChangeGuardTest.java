package io.banyantally.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Revision;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** One test for each safety check of changes and withdrawals; the test fails if its check is removed. */
final class ChangeGuardTest {

    /** Guards against replacing a configuration by an older one that arrives late. */
    @Test
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "propagation", fault = "old revision arrives late")
    void lowerRevisionIsNeverApplied() throws Exception {
        TestSite site = TestSite.running(3);
        ConfigurationReplica replica = site.vm(0).replica();
        ConfigurationSnapshot old = replica.snapshot();
        site.issueKey(0);
        Revision revision = replica.revision();
        assertFalse(replica.apply(old));
        assertEquals(revision, replica.revision());
    }

    /** Guards against accepting answers as proofs from a platform that has lost its latest writes. */
    @Test
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "watch", fault = "platform lost a write")
    void answerOfPlatformThatLostAWriteIsRejected() throws Exception {
        TestSite site = TestSite.running(3);
        TestVm vm = site.vm(0);
        ManifestWatch watch =
                new ManifestWatch(new InMemoryKeyValueStore(site.clock), vm.part.store(), vm.replica(), vm::nanoTime);
        site.clock.advance(Duration.ofSeconds(3));
        assertFalse(watch.step(Duration.ZERO));
        assertEquals(1, vm.revertViolations());
        assertFalse(vm.replica().isProven());
    }

    /** Guards against a bucket that was corrupted or forged in transit. */
    @Test
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "propagation", fault = "bucket damaged on the way")
    void bucketWithWrongHashIsRejected() {
        byte[] bytes = StoredFormat.encode(Bucket.EMPTY);
        assertThrows(ConfigurationDamagedException.class, () -> EncodedBucket.verified("00", bytes));
    }

    /**
     * Guards against writing a change twice: after a lost answer, a writer may mistake its write for another writer's.
     */
    @Test
    @FaultRow(
            promise = Promise.CONFIGURATION_NEVER_REVERTS,
            step = "manifest written",
            fault = "answer lost, and another writer came next")
    void writerRecognisesItsWriteAfterALaterWrite() throws Exception {
        TestSite site = TestSite.running(3);
        TestVm writer = site.vm(0);
        Revision before = writer.replica().revision();
        boolean[] raced = {false};
        writer.store.setPlan((operation, key, after) -> {
            if (!InjectionPoint.MANIFEST_WRITE.matchesStoreCall(operation, key, false) || raced[0]) {
                return StoreFault.NONE;
            }
            if (after) {
                raced[0] = true;
                write(site.vm(1), "other");
            }
            return StoreFault.LOST_ANSWER;
        });
        Revision own = writer.part.editor().change(before, put("own", 1)).revision();
        assertEquals(before.next(), own);
        site.tick();
        assertEquals(before.next().next(), writer.replica().revision());
    }

    /** Guards against a lost update when two operators change the same entry concurrently. */
    @Test
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "manifest read", fault = "operators racing")
    void concurrentChangesOfOneEntryConflictAndReportBothValues() throws Exception {
        TestSite site = TestSite.running(3);
        Revision base = site.vm(0).replica().revision();
        site.vm(1).part.editor().change(base, put("raced", 1));
        ConfigurationConflictException conflict = assertThrows(
                ConfigurationConflictException.class,
                () -> site.vm(0).part.editor().change(base, put("raced", 2)));
        ConflictingEntry entry = conflict.entries().getFirst();
        assertEquals(Optional.of(parameters("raced", 2)), entry.requested());
        assertEquals(Optional.of(parameters("raced", 1)), entry.present());
        assertEquals(base, conflict.basedOn());
    }

    /** Guards against a conflict between concurrent changes of different entries. */
    @Test
    void changesOfDifferentEntriesDoNotConflict() throws Exception {
        TestSite site = TestSite.running(3);
        Revision base = site.vm(0).replica().revision();
        site.vm(1).part.editor().change(base, put("one", 1));
        site.vm(0).part.editor().change(base, put("other", 1));
        site.tick();
        assertTrue(site.vm(2).replica().current().accounts().containsKey(new ClientAccountId("one")));
        assertTrue(site.vm(2).replica().current().accounts().containsKey(new ClientAccountId("other")));
    }

    /** Guards against reporting a withdrawal as accepted before a majority has applied it. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "confirmation", fault = "majority cut off")
    void withdrawalWithoutAMajorityIsNotConfirmedUntilItIsRepeated() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        for (int index = 2; index < 5; index++) {
            site.vm(index).store.setPlan(TestSite.UNAVAILABLE);
            site.hub.isolate(TestSite.vmId(index));
        }
        ChangeOutcome first = site.withdrawKey(0, key);
        assertFalse(first.confirmed());
        site.hub.restoreAll();
        ChangeOutcome second = site.withdrawKey(0, key);
        assertEquals(new ChangeOutcome(first.revision(), true), second);
    }

    /**
     * Guards against counting the confirmation of a VM that restarts before the others have confirmed, and then loads
     * the old configuration from them.
     */
    @Test
    @FaultRow(
            promise = Promise.TENANT_ISOLATION,
            step = "between the first and the second confirmation",
            fault = "VM restarted, learning first from an old majority, platform down")
    void confirmationOfAVmThatRestartsBeforeTheOthersConfirmedDoesNotCount() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        cutWriterFrom(site, 3, 4);
        int[] requests = {0};
        site.beforeRequest = (vm, topic) -> {
            if (vm.equals(TestSite.vmId(0)) && topic.equals(ConfigurationExchange.PROOF) && ++requests[0] == 2) {
                restartAmongOutdatedVms(site, 1);
                cutWriterFrom(site, 1, 3, 4);
                cutFromOutdatedVms(site, 2);
            }
        };
        assertServedButNotConfirmed(site, key, site.withdrawKey(0, key));
    }

    /**
     * Guards against combining answers of two rounds from different incarnations. VM 1 restarts in the first round,
     * VM 2 between the rounds and VM 1 again in the second; each loads the old configuration from the others before it
     * confirms again.
     */
    @Test
    @FaultRow(
            promise = Promise.TENANT_ISOLATION,
            step = "first and second round of confirmations",
            fault = "three restarts, each learning first from an old majority, platform down")
    void confirmationsOfDifferentIncarnationsDoNotCount() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        cutWriterFrom(site, 3, 4);
        int[] requests = {0};
        site.beforeRequest = (vm, topic) -> {
            if (!vm.equals(TestSite.vmId(0)) || !topic.equals(ConfigurationExchange.PROOF)) {
                return;
            }
            requests[0]++;
            if (requests[0] == 2) {
                restartAmongOutdatedVms(site, 1);
                cutWriterFrom(site, 1, 3, 4);
            } else if (requests[0] == 5) {
                restartAmongOutdatedVms(site, 2);
                cutWriterFrom(site, 3, 4);
            } else if (requests[0] == 6) {
                restartAmongOutdatedVms(site, 1);
                cutWriterFrom(site, 1, 3, 4);
                cutFromOutdatedVms(site, 2);
            }
        };
        assertServedButNotConfirmed(site, key, site.withdrawKey(0, key));
    }

    private static void assertServedButNotConfirmed(TestSite site, IssuedKey key, ChangeOutcome outcome) {
        site.tick(Duration.ofSeconds(5));
        boolean served = site.running().stream().anyMatch(vm -> vm.serves(key.text()));
        assertTrue(served, "no VM serves the withdrawn key, so this scenario no longer forms an outdated majority");
        assertFalse(outcome.confirmed());
    }

    /** Restarts a VM that has confirmed, with the platform down; it loads its state from all VMs except the writer. */
    private static void restartAmongOutdatedVms(TestSite site, int index) {
        site.setPlatformFaults(TestSite.UNAVAILABLE);
        site.clock.advance(ConfigurationReplica.PLATFORM_PROOF_TIMEOUT.plusMillis(1));
        site.kill(index);
        TestVm restarted = site.start(index);
        restarted.store.setPlan(TestSite.UNAVAILABLE);
        cutWriterFrom(site, 1, 2, 3, 4);
        restarted.runTasksOnce();
        restarted.runTasksOnce();
        assertTrue(restarted.replica().isVoter());
    }

    /** Restores all links, then cuts those between VM 0, the writer, and the given VMs. */
    private static void cutWriterFrom(TestSite site, int... others) {
        site.hub.restoreAll();
        for (int other : others) {
            site.hub.cut(TestSite.vmId(0), TestSite.vmId(other));
        }
    }

    private static void cutFromOutdatedVms(TestSite site, int index) {
        for (int old : new int[] {1, 3, 4}) {
            site.hub.cut(TestSite.vmId(index), TestSite.vmId(old));
        }
    }

    /** Guards against a roster change that takes effect before a majority of the old roster has applied it. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "roster change", fault = "majority cut off")
    void rosterChangeWaitsForAMajorityOfTheOldRoster() throws Exception {
        TestSite site = TestSite.running(5);
        for (int index = 2; index < 5; index++) {
            site.vm(index).store.setPlan(TestSite.UNAVAILABLE);
            site.hub.isolate(TestSite.vmId(index));
        }
        Set<VmId> before = site.vm(0).replica().current().roster();
        assertFalse(site.vm(0).part.roster().remove(TestSite.vmId(4)));
        assertEquals(before, site.vm(0).replica().current().roster());
        site.hub.restoreAll();
        assertTrue(site.vm(1).part.roster().completeChange());
        assertFalse(site.vm(1).replica().current().roster().contains(TestSite.vmId(4)));
    }

    /** Guards against starting a roster change while another one is in progress. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "roster change", fault = "two changes at once")
    void rosterChangesByOneVmAtATime() {
        Roster changing = Roster.EMPTY.adding(TestSite.vmId(0), 1).adding(TestSite.vmId(1), 2);
        assertThrows(IllegalStateException.class, () -> changing.adding(TestSite.vmId(2), 3));
        assertThrows(IllegalStateException.class, () -> changing.removing(TestSite.vmId(0), 3));
    }

    /** Guards against a configuration that exceeds the size limit of a key-value service value. */
    @Test
    void moreAccountsThanOneValueHoldsAreSpreadOverBuckets() throws Exception {
        TestSite site = TestSite.running(3);
        java.util.Random random = new java.util.Random(1);
        ConfigurationChange change = new ConfigurationChange(
                java.util.List.of(),
                java.util.stream.IntStream.range(0, 16_000)
                        .mapToObj(index -> parameters(index + "-" + incompressible(random), 1))
                        .toList(),
                java.util.List.of(),
                java.util.List.of());
        assertTrue(site.vm(0)
                .part
                .editor()
                .change(site.vm(0).replica().revision(), change)
                .confirmed());
        long bytes = site.vm(1).replica().snapshot().buckets().stream()
                .mapToLong(bucket -> bucket.bytes().length)
                .sum();
        assertTrue(bytes > 1_000_000, "only " + bytes + " bytes");
        assertEquals(16_001, site.vm(1).replica().current().accounts().size());
        assertTrue(site.vm(1).replica().snapshot().manifestBytes().length < 20_000);
    }

    private static String incompressible(java.util.Random random) {
        byte[] bytes = new byte[75];
        random.nextBytes(bytes);
        return java.util.Base64.getEncoder()
                .withoutPadding()
                .encodeToString(bytes)
                .replace('+', '.')
                .replace('/', '-');
    }

    private static void write(TestVm vm, String account) {
        try {
            vm.part.editor().change(vm.replica().revision(), put(account, 1));
        } catch (ConfigurationConflictException
                | ConfigurationNotWrittenException
                | ConfigurationOutcomeUnknownException failure) {
            throw new AssertionError(failure);
        }
    }

    private static ConfigurationChange put(String account, int priority) {
        return ConfigurationChange.put(parameters(account, priority));
    }

    private static ClientAccountParameters parameters(String account, int priority) {
        return new ClientAccountParameters(
                new ClientAccountId(account), Set.of(), Set.of(), Set.of(), priority, 1, 1, 1, 1);
    }
}
