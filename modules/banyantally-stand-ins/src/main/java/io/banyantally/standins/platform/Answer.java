package io.banyantally.standins.platform;

/** The answer of an interface. It is sent after the call took effect, unless a fault drops it. */
record Answer(int status, Object message) {

    static Answer of(Object message) {
        return new Answer(200, message);
    }

    static Answer refused(int status, String reason) {
        return new Answer(status, reason);
    }
}
