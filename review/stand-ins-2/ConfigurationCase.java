import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator takes a key away and adds another, and a route, by a new manifest. Shows whether requests that are sent
 * later than {@code configurationMs} after its confirmation are handled as only the older manifest allows.
 */
final class ConfigurationCase {

    private static final long CONFIGURATION_MILLISECONDS = 2_000;

    /** More than {@code stabilityMs}. */
    private static final long CALM_MILLISECONDS = 5_000;

    private static final int GATEWAYS = 4;
    private static final int ROUNDS = 20;

    private final Record record;
    private int outdated;

    private ConfigurationCase(Record record) {
        this.record = record;
    }

    /** Arguments: the record and the kind of trouble, {@code name} or {@code settings}. */
    public static void main(String[] arguments) throws Exception {
        int exitCode;
        try (Record record = new Record(Path.of(arguments[0]))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            ConfigurationCase play = new ConfigurationCase(record);
            play.run(trouble && arguments[1].equals("name"), trouble && arguments[1].equals("settings"));
            String result = play.outdated + " requests were handled as only the older manifest allows";
            record.line("result: " + result);
            System.out.println(result);
            exitCode = play.outdated > 0 ? 1 : 0;
        } catch (CannotRunException | IOException failure) {
            System.out.println("the case can't run: " + failure);
            exitCode = 2;
        }
        System.exit(exitCode);
    }

    private void run(boolean nameWithSpaces, boolean settingsChange)
            throws IOException, InterruptedException, CannotRunException {
        try (Deployment deployment = new Deployment(record);
                Replica replica = new Replica(deployment.store, "i-1", "plain", record, (request, socket) -> {
                    Server.respond(socket, 200, Replica.headers(request), Replica.bytes("done"));
                    return true;
                })) {
            Store store = deployment.store;
            replica.register("ready", "");
            store.write("op/config", manifest(1, "\"key-one\",\"key-two\"", "", false));
            List<Deployment.Gateway> gateways = new ArrayList<>();
            for (int number = 1; number <= GATEWAYS; number++) {
                gateways.add(deployment.start("front-" + number));
            }
            for (Deployment.Gateway gateway : gateways) {
                gateway.awaitReady();
            }
            Thread.sleep(1_000);
            for (Deployment.Gateway gateway : gateways) {
                if (ask(gateway, "/look/", "key-two") != 200 || ask(gateway, "/look/", "key-three") != 401) {
                    throw new CannotRunException("the first manifest isn't in force at " + gateway.name());
                }
            }
            if (settingsChange) {
                Server former = store.move();
                deployment.changeSettings(gateways.getFirst());
                // Longer than a change of the manifest may take to be in force.
                Thread.sleep(CONFIGURATION_MILLISECONDS + 5_000);
                former.close();
                record.line("the store's former address is closed");
                Thread.sleep(CALM_MILLISECONDS);
            }
            String name = nameWithSpaces ? "Port of Sfax" : "port-of-sfax";
            store.write(
                    "op/config",
                    manifest(2, "\"key-one\"", ",{\"name\":\"" + name + "\",\"keys\":[\"key-three\"]}", true));
            record.line("the store confirms manifest 2: key-two is taken away, tenant " + name
                    + " gets key-three, and route /new/ is added");
            Thread.sleep(CONFIGURATION_MILLISECONDS + 300);
            for (int round = 0; round < ROUNDS; round++) {
                for (Deployment.Gateway gateway : gateways) {
                    expect(ask(gateway, "/look/", "key-two"), 401, gateway, "the key that was taken away");
                    expect(ask(gateway, "/look/", "key-three"), 200, gateway, "the new tenant's key");
                    expect(ask(gateway, "/new/", "key-one"), 200, gateway, "the new route");
                }
                Thread.sleep(200);
            }
            for (Deployment.Gateway gateway : gateways) {
                List<String> lines = new ArrayList<>(gateway.log()
                        .lines()
                        .filter(line -> line.contains("configuration_unreadable") || line.contains("settings_read"))
                        .toList());
                lines.forEach(line -> record.line(
                        "log of " + gateway.name() + ": " + line.substring(0, Math.min(400, line.length()))));
            }
        }
    }

    /** Counts an answer that only the older manifest allows; others than these aren't judged. */
    private void expect(int status, int newest, Deployment.Gateway gateway, String what) {
        int older = newest == 401 ? 200 : what.contains("route") ? 404 : 401;
        if (status == older) {
            outdated++;
            record.line("OUTDATED: " + gateway.name() + " answers " + status + " for " + what);
        }
    }

    private int ask(Deployment.Gateway gateway, String prefix, String key) {
        String attempt = "a" + System.nanoTime();
        try (Caller caller = new Caller(gateway.callers())) {
            record.line("client sends " + attempt + " to " + gateway.name() + ": " + prefix + " with " + key);
            caller.send("GET", prefix + "x", attempt, 1500, "X-Api-Key: " + key + "\r\n", "");
            int status = caller.answer(3000).map(Message::status).orElse(0);
            record.line("client gets " + status + " for " + attempt);
            return status;
        } catch (IOException failure) {
            record.line("client gets " + failure + " for " + attempt);
            return 0;
        }
    }

    private static String manifest(long version, String keys, String furtherTenants, boolean newRoute) {
        Manifest manifest = new Manifest(version)
                .route("/look/", "idempotent", 1500, 2, false, "plain")
                .service("plain", "")
                .tenants("[{\"name\":\"huka270\",\"keys\":[" + keys + "]}" + furtherTenants + "]");
        return (newRoute ? manifest.route("/new/", "idempotent", 1500, 2, false, "plain") : manifest).toString();
    }
}
