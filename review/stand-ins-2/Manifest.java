import java.util.ArrayList;
import java.util.List;

/** A manifest with routes of one host. */
final class Manifest {

    private final long version;
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private String tenants = "";
    private int idleTimeoutMilliseconds = 15_000;

    Manifest(long version) {
        this.version = version;
    }

    Manifest route(String prefix, String kind, int timeoutMilliseconds, int attempts, boolean resumable, String service) {
        routes.add("""
                {"name":"r%d","host":"host.example","prefix":"%s","kind":"%s","timeoutMs":%d,"latencyTargetMs":%d,\
                "priority":2,"service":"%s","attempts":%d,"allowAnonymous":false,"sticky":false,"resumable":%b}"""
                .formatted(
                        routes.size(),
                        prefix,
                        kind,
                        timeoutMilliseconds,
                        timeoutMilliseconds,
                        service,
                        attempts,
                        resumable));
        return this;
    }

    Manifest service(String name, String furtherFields) {
        services.add("{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"connectionLimit\":160" + furtherFields + "}");
        return this;
    }

    Manifest idleTimeout(int milliseconds) {
        idleTimeoutMilliseconds = milliseconds;
        return this;
    }

    Manifest tenants(String json) {
        tenants = ",\"tenants\":" + json;
        return this;
    }

    @Override
    public String toString() {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":" + idleTimeoutMilliseconds + "}" + tenants + "}";
    }
}
