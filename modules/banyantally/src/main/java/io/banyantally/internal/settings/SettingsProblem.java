package io.banyantally.internal.settings;

/** One thing that is wrong in the settings. */
public record SettingsProblem(String path, String found, String allowed) {

    @Override
    public String toString() {
        return path + ": found " + found + "; allowed: " + allowed;
    }
}
