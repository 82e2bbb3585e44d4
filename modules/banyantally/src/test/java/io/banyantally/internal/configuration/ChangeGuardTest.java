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

/** One row for each guard of changes and withdrawals; the row fails when its guard is removed. */
final class ChangeGuardTest {

    /** Guards against an older configuration that replaces a newer one. */
    @Test
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "propagation", fault = "old revision arrives late")
    void lowerRevisionIsNeverApplied() throws Exception {
        TestSite site = TestSite.running(3);
        ConfigurationReplica replica = site.vm(0).replica();
        ConfigurationSnapshot old = replica.snapshot();
        site.give(0);
        Revision revision = replica.revision();
        assertFalse(replica.apply(old));
        assertEquals(revision, replica.revision());
    }

    /** Guards against a platform that lost its latest writes: its answers must not count as proofs. */
    @Test
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "watch", fault = "platform lost a write")
    void platformThatWentBackIsNotBelieved() throws Exception {
        TestSite site = TestSite.running(3);
        TestVm vm = site.vm(0);
        ManifestWatch watch =
                new ManifestWatch(new InMemoryKeyValueStore(site.clock), vm.part.store(), vm.replica(), vm::nanoTime);
        site.clock.advance(Duration.ofSeconds(3));
        assertFalse(watch.step(Duration.ZERO));
        assertEquals(1, vm.reverts());
        assertFalse(vm.replica().isProven());
    }

    /** Guards against a bucket that was damaged or forged on the way. */
    @Test
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "propagation", fault = "bucket damaged on the way")
    void bucketWithAnotherHashIsRefused() {
        byte[] bytes = StoredFormat.encode(Bucket.EMPTY);
        assertThrows(ConfigurationDamagedException.class, () -> HeldBucket.verified("00", bytes));
    }

    /** Guards against a writer that takes its own change for another's after a lost answer, and writes it twice. */
    @Test
    @FaultRow(
            promise = Promise.CONFIGURATION_NEVER_REVERTS,
            step = "manifest written",
            fault = "answer lost, and another writer came next")
    void writerFindsItsOwnWriteBehindALaterOne() throws Exception {
        TestSite site = TestSite.running(3);
        TestVm writer = site.vm(0);
        Revision before = writer.replica().revision();
        boolean[] struck = {false};
        writer.store.setPlan((operation, key, after) -> {
            if (!MatrixStep.MANIFEST_WRITE.isAt(operation, key, false) || struck[0]) {
                return StoreFault.NONE;
            }
            if (after) {
                struck[0] = true;
                write(site.vm(1), "other");
            }
            return StoreFault.LOST_ANSWER;
        });
        Revision own = writer.part.editor().change(before, put("own", 1)).revision();
        assertEquals(before.next(), own);
        site.tick();
        assertEquals(before.next().next(), writer.replica().revision());
    }

    /** Guards against the loss of one side of a race. */
    @Test
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "manifest read", fault = "operators racing")
    void raceOnOneEntryIsAConflictWithBothSides() throws Exception {
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

    /** Guards against the refusal of changes that don't touch each other. */
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

    /** Guards against a withdrawal that is reported as accepted while a majority has not heard of it. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "confirmation", fault = "majority cut off")
    void withdrawalWithoutAMajorityIsNotConfirmedUntilItIsRepeated() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        for (int index = 2; index < 5; index++) {
            site.vm(index).store.setPlan(TestSite.DOWN);
            site.hub.isolate(TestSite.name(index));
        }
        ChangeOutcome first = site.withdraw(0, key);
        assertFalse(first.confirmed());
        site.hub.restoreAll();
        ChangeOutcome second = site.withdraw(0, key);
        assertEquals(new ChangeOutcome(first.revision(), true), second);
    }

    /**
     * Guards against a confirmation by a VM that restarts before the others confirmed, and then learns the old
     * configuration from them.
     */
    @Test
    @FaultRow(
            promise = Promise.TENANT_ISOLATION,
            step = "between the first and the second confirmation",
            fault = "VM restarted, learning first from an old majority, platform down")
    void confirmationOfAVmThatRestartsBeforeTheOthersConfirmedDoesNotCount() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        cutWriterFrom(site, 3, 4);
        int[] requests = {0};
        site.beforeRequest = (vm, topic) -> {
            if (vm.equals(TestSite.name(0)) && topic.equals(ConfigurationExchange.PROOF) && ++requests[0] == 2) {
                restartAmongOldVms(site, 1);
                cutWriterFrom(site, 1, 3, 4);
                cutFromOldVms(site, 2);
            }
        };
        assertNotConfirmedThoughServed(site, key, site.withdraw(0, key));
    }

    /**
     * Guards against answers of two rounds that come from different incarnations. VM 1 restarts in the first round, VM 2
     * between the rounds and VM 1 again in the second; each learns the old configuration from the others before it
     * confirms anew.
     */
    @Test
    @FaultRow(
            promise = Promise.TENANT_ISOLATION,
            step = "first and second round of confirmations",
            fault = "three restarts, each learning first from an old majority, platform down")
    void confirmationsOfDifferentIncarnationsDoNotCount() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        cutWriterFrom(site, 3, 4);
        int[] requests = {0};
        site.beforeRequest = (vm, topic) -> {
            if (!vm.equals(TestSite.name(0)) || !topic.equals(ConfigurationExchange.PROOF)) {
                return;
            }
            requests[0]++;
            if (requests[0] == 2) {
                restartAmongOldVms(site, 1);
                cutWriterFrom(site, 1, 3, 4);
            } else if (requests[0] == 5) {
                restartAmongOldVms(site, 2);
                cutWriterFrom(site, 3, 4);
            } else if (requests[0] == 6) {
                restartAmongOldVms(site, 1);
                cutWriterFrom(site, 1, 3, 4);
                cutFromOldVms(site, 2);
            }
        };
        assertNotConfirmedThoughServed(site, key, site.withdraw(0, key));
    }

    private static void assertNotConfirmedThoughServed(TestSite site, IssuedKey key, ChangeOutcome outcome) {
        site.tick(Duration.ofSeconds(5));
        boolean served = site.running().stream().anyMatch(vm -> vm.serves(key.text()));
        assertTrue(served, "the scenario no longer lets an old majority serve; write it anew");
        assertFalse(outcome.confirmed());
    }

    /** Restarts a VM that has confirmed, with the platform down, and lets it learn from all others but the writer. */
    private static void restartAmongOldVms(TestSite site, int index) {
        site.setPlatform(TestSite.DOWN);
        site.clock.advance(ConfigurationReplica.PLATFORM_SILENCE.plusMillis(1));
        site.kill(index);
        TestVm restarted = site.start(index);
        restarted.store.setPlan(TestSite.DOWN);
        cutWriterFrom(site, 1, 2, 3, 4);
        restarted.step();
        restarted.step();
        assertTrue(restarted.replica().isVoter());
    }

    /** Restores all links, and cuts those between VM 0, the writer, and some others. */
    private static void cutWriterFrom(TestSite site, int... others) {
        site.hub.restoreAll();
        for (int other : others) {
            site.hub.cut(TestSite.name(0), TestSite.name(other));
        }
    }

    private static void cutFromOldVms(TestSite site, int index) {
        for (int old : new int[] {1, 3, 4}) {
            site.hub.cut(TestSite.name(index), TestSite.name(old));
        }
    }

    /** Guards against a roster that takes effect before a majority of the old one knows of it. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "roster change", fault = "majority cut off")
    void rosterChangeWaitsForAMajorityOfTheOldRoster() throws Exception {
        TestSite site = TestSite.running(5);
        for (int index = 2; index < 5; index++) {
            site.vm(index).store.setPlan(TestSite.DOWN);
            site.hub.isolate(TestSite.name(index));
        }
        Set<VmId> before = site.vm(0).replica().current().roster();
        assertFalse(site.vm(0).part.roster().remove(TestSite.name(4)));
        assertEquals(before, site.vm(0).replica().current().roster());
        site.hub.restoreAll();
        assertTrue(site.vm(1).part.roster().completeChange());
        assertFalse(site.vm(1).replica().current().roster().contains(TestSite.name(4)));
    }

    /** Guards against a second roster change on top of one that is under way. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "roster change", fault = "two changes at once")
    void rosterChangesByOneVmAtATime() {
        Roster changing = Roster.EMPTY.adding(TestSite.name(0), 1).adding(TestSite.name(1), 2);
        assertThrows(IllegalStateException.class, () -> changing.adding(TestSite.name(2), 3));
        assertThrows(IllegalStateException.class, () -> changing.removing(TestSite.name(0), 3));
    }

    /** Guards against a configuration that outgrows one value of the key-value service. */
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
