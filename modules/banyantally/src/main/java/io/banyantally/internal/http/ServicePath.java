package io.banyantally.internal.http;

import io.banyantally.model.ServiceName;

/**
 * The path of a call to a plain service.
 *
 * @param path the decoded path behind the service's name, for finding its route
 * @param pathAndQuery the same with its query, as the caller sent it
 */
record ServicePath(ServiceName service, String path, String pathAndQuery) {

    static ServicePath parse(String decoded, String raw) throws RequestRefusedException {
        String rest = decoded.substring(ServiceEndpoint.PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        String rawRest = raw.substring(ServiceEndpoint.PREFIX.length());
        int rawEnd = rawRest.indexOf('/');
        String rawPath = rawEnd < 0 ? "/" : rawRest.substring(rawEnd);
        if (path.contains("..")) {
            throw RequestRefusedException.notRun(ErrorType.INVALID_REQUEST, "the path must not contain '..'");
        }
        try {
            return new ServicePath(new ServiceName(name), path, rawPath);
        } catch (IllegalArgumentException invalid) {
            throw RequestRefusedException.notRun(ErrorType.UNKNOWN_SERVICE, "no plain service has this name");
        }
    }
}
