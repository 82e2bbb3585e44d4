package io.banyantally.internal.settings;

/** An invalid field of the settings: its JSON path, the value found and what is allowed. */
public record SettingsProblem(String path, String found, String allowed) {

    @Override
    public String toString() {
        return path + ": found " + found + "; allowed: " + allowed;
    }
}
