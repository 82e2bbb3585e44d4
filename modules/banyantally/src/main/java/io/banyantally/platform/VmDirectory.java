package io.banyantally.platform;

import java.util.List;

/** The platform's list of VMs. It lags behind what happens by seconds. */
@FunctionalInterface
public interface VmDirectory {

    /** Returns all live and leaving VMs that the platform knows. */
    List<DirectoryEntry> list() throws PlatformException;
}
