package io.banyantally.platform;

import java.util.List;

/** The platform's list of VMs. Changes appear in it with a delay of seconds. */
@FunctionalInterface
public interface VmDirectory {

    /** Returns all VMs of the platform, including those that are shutting down. */
    List<DirectoryEntry> list() throws PlatformException;
}
