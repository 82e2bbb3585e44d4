package io.banyantally.internal.operator;

/**
 * A field of an operator's document that is invalid, missing or unknown.
 *
 * @param path the slash-separated path of the field, such as {@code /routes/0/open}
 * @param found the value found, or {@code missing}
 * @param allowed a description of the allowed values
 */
public record FieldProblem(String path, String found, String allowed) {

    @Override
    public String toString() {
        return path + ": found " + found + "; allowed: " + allowed;
    }
}
