package io.banyantally.standins.processes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon or stand-in that runs as a process with the class path of this test. */
final class RunningProcess {

    private static final Duration START_LIMIT = Duration.ofSeconds(60);

    private final String name;
    private final Process process;
    private final Path output;

    private RunningProcess(String name, Process process, Path output) {
        this.name = name;
        this.process = process;
        this.output = output;
    }

    static RunningProcess start(Path folder, String name, String mainClass, String... arguments) throws IOException {
        Path output = folder.resolve(name + ".out");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                "--enable-native-access=ALL-UNNAMED",
                "--sun-misc-unsafe-memory-access=allow",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command)
                .redirectOutput(output.toFile())
                .redirectError(folder.resolve(name + ".log").toFile())
                .start();
        // Kills the process at exit of the test JVM, also when the rest of the site fails to start.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return new RunningProcess(name, process, output);
    }

    /** Waits until the process has printed {@code key=value} and returns the value. */
    String field(String key) throws IOException, InterruptedException {
        Pattern pattern = Pattern.compile("\\b" + key + "=(\\S+)");
        long deadlineNanos = System.nanoTime() + START_LIMIT.toNanos();
        while (System.nanoTime() < deadlineNanos && process.isAlive()) {
            Matcher matcher = pattern.matcher(Files.readString(output));
            if (matcher.find()) {
                return matcher.group(1);
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException(name + " did not print " + key + "; see " + output);
    }

    /** Suspends the process with SIGSTOP, as if its VM were paused. */
    void pause() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Resumes a paused process. */
    void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    private void signal(String signal) throws IOException, InterruptedException {
        int code = new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (code != 0) {
            throw new IllegalStateException("kill " + signal + " of " + name + " failed with exit code " + code);
        }
    }

    void kill() {
        process.destroyForcibly();
    }

    /** Requests a graceful shutdown with SIGTERM and returns the exit code. */
    int terminate(Duration limit) throws InterruptedException {
        process.destroy();
        if (!process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
            process.destroyForcibly();
            throw new IllegalStateException(name + " did not end within " + limit);
        }
        return process.exitValue();
    }
}
