package io.banyantally.standins.processes;

import io.cucumber.java.AfterAll;
import io.cucumber.java.Before;
import java.io.IOException;

/** The site that scenarios share; a scenario tagged {@code @new-site} starts with a new one. */
public final class SharedSite {

    private static TestSite site;

    /** Stops the shared site, so that the scenario starts a new one. */
    @Before("@new-site")
    public void startNewSite() {
        stop();
    }

    /** Stops all processes of the site. */
    @AfterAll
    public static void stop() {
        if (site != null) {
            site.close();
            site = null;
        }
    }

    static TestSite get() {
        if (site == null) {
            try {
                site = new TestSite();
            } catch (IOException | InterruptedException failure) {
                throw new IllegalStateException("the test site did not start", failure);
            }
        }
        return site;
    }
}
