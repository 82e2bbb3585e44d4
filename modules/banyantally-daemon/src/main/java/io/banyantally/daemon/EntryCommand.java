package io.banyantally.daemon;

import io.banyantally.Banyantally;
import io.banyantally.BanyantallyBuilder;
import io.banyantally.StartFailedException;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.net.SocketAddresses;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.settings.SettingsException;
import io.banyantally.internal.timeline.EventField;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an entry daemon until it receives a signal to stop. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        description = {
            "Runs an entry daemon until SIGTERM, which starts a graceful shutdown.",
            "Exit codes: 0 after a graceful shutdown, 1 if requests were aborted or the start failed, 2 for bad settings."
        })
final class EntryCommand implements Callable<Integer> {

    private static final int FAILED = 1;
    private static final int WRONG_SETTINGS = 2;
    private static final EventLog LOG = EventLog.of(EntryCommand.class);

    @Option(names = "--settings", required = true, description = "The settings file (JSON).")
    private Path settingsFile;

    @Option(names = "--check", description = "Only check the settings file.")
    private boolean checkOnly;

    @Override
    public Integer call() throws InterruptedException {
        EntrySettings settings;
        try {
            settings = EntrySettings.readFile(settingsFile);
        } catch (SettingsException wrong) {
            System.err.println(wrong.getMessage());
            return WRONG_SETTINGS;
        }
        if (checkOnly) {
            System.out.println(settingsFile + " is valid");
            return 0;
        }
        return run(new BanyantallyBuilder().setSettings(settings).create());
    }

    private static int run(Banyantally entry) throws InterruptedException {
        try {
            entry.start();
        } catch (StartFailedException failure) {
            LOG.error("start_failed", failure, EventField.of("reason", failure.getMessage()));
            return FAILED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(entry), "graceful-shutdown"));
        System.out.println("event=listening callers=" + SocketAddresses.text(entry.callersAddress()) + " peers="
                + SocketAddresses.text(entry.peersAddress()));
        new CountDownLatch(1).await();
        return 0;
    }

    /** Runs in the shutdown hook. Halts the JVM to set the exit code, which the signal would determine otherwise. */
    private static void shutDown(Banyantally entry) {
        int code = FAILED;
        try {
            code = entry.drainAndStop() ? 0 : FAILED;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            EventLog.flush();
            Runtime.getRuntime().halt(code);
        }
    }
}
