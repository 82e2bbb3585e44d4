package io.banyantally.standins.platform;

/** The answer of an interface, sent after its effect unless a fault loses it. */
record Answer(int status, Object message) {

    static Answer of(Object message) {
        return new Answer(200, message);
    }

    static Answer refused(int status, String reason) {
        return new Answer(status, reason);
    }
}
