package review;

/** The operator's manifests of the cases. */
final class Manifest {

    static final String KEY = "op/config";

    private Manifest() {}

    /**
     * Returns a manifest with a non-idempotent and an idempotent route to one plain service, and an idempotent route to
     * the service {@code second}.
     */
    static String of(long version, String orderService, int timeoutMillis) {
        return """
                {"version":%1$d,
                 "routes":[
                  {"name":"order","host":"%2$s","prefix":"/order/","kind":"non_idempotent","timeoutMs":%3$d,
                   "latencyTargetMs":1000,"priority":2,"service":"%4$s","attempts":1,"allowAnonymous":false,
                   "sticky":false,"resumable":false},
                  {"name":"look","host":"%2$s","prefix":"/look/","kind":"idempotent","timeoutMs":%3$d,
                   "latencyTargetMs":1000,"priority":2,"service":"%4$s","attempts":2,"allowAnonymous":false,
                   "sticky":false,"resumable":false},
                  {"name":"soon","host":"%2$s","prefix":"/soon/","kind":"idempotent","timeoutMs":%3$d,
                   "latencyTargetMs":1000,"priority":2,"service":"second","attempts":2,"allowAnonymous":false,
                   "sticky":false,"resumable":false}],
                 "services":[{"name":"first","healthPath":"/health","connectionLimit":96,"protocol":"h1","tls":false},
                  {"name":"second","healthPath":"/health","connectionLimit":96,"protocol":"h1","tls":false}],
                 "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                 "tenants":[{"name":"first-tenant","keys":["%5$s"],"priority":1}]}""".formatted(version, Caller.HOST, timeoutMillis, orderService, Caller.API_KEY);
    }
}
