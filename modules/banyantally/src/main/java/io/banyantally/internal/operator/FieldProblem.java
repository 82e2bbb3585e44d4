package io.banyantally.internal.operator;

/**
 * A field of an operator's document that is wrong, missing or unknown.
 *
 * @param path where it is, such as {@code /routes/0/open}
 * @param found the value found, or {@code missing}
 * @param allowed what is allowed there
 */
public record FieldProblem(String path, String found, String allowed) {

    @Override
    public String toString() {
        return path + ": found " + found + "; allowed: " + allowed;
    }
}
