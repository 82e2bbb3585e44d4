package io.banyantally.internal.timeline;

/** A named detail of an event. Values never contain an API key or a prompt. */
public record EventField(String name, String value) {

    /** Creates a field from any value with a readable text form. */
    public static EventField of(String name, Object value) {
        return new EventField(name, String.valueOf(value));
    }
}
