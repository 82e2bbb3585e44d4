package io.banyantally.internal.deployment;

import io.banyantally.model.VmId;
import io.banyantally.platform.StoreKey;

/** Where the gateway keeps its own state in the platform's store. */
public final class GatewayStoreKeys {

    /** Everything that all VMs follow: the VMs themselves and the holder of the duties. */
    public static final String LIVE_PREFIX = "banyantally/live/";

    /** The VMs that serve; each key lapses with its VM. */
    public static final String MEMBER_PREFIX = LIVE_PREFIX + "members/";

    /** The holder of the duties. */
    public static final StoreKey DUTY_HOLDER = new StoreKey(LIVE_PREFIX + "duties");

    /** Usage, counted and sealed; read by the holder of the duties only. */
    public static final String USAGE_PREFIX = "banyantally/usage/";

    private static final String COUNTS_PREFIX = USAGE_PREFIX + "counts/";
    private static final String SEALED_PREFIX = USAGE_PREFIX + "sealed/";

    private GatewayStoreKeys() {}

    /** The entry of a VM. */
    public static StoreKey member(VmId vm) {
        return new StoreKey(MEMBER_PREFIX + vm);
    }

    /** What one lifetime of a VM's process has counted. */
    public static StoreKey usageCounts(VmId vm, String lifetime) {
        return new StoreKey(COUNTS_PREFIX + vm + "/" + lifetime);
    }

    /** The counts of a window that may be reported. */
    public static StoreKey sealedWindow(long window) {
        return new StoreKey(SEALED_PREFIX + window);
    }

    /** Returns whether a key holds counts of a VM. */
    public static boolean isUsageCounts(StoreKey key) {
        return key.path().startsWith(COUNTS_PREFIX);
    }

    /** Returns whether a key holds a sealed window. */
    public static boolean isSealedWindow(StoreKey key) {
        return key.path().startsWith(SEALED_PREFIX);
    }

    /** Returns the name of the VM whose counts a key holds. */
    public static String vmOfUsageCounts(StoreKey key) {
        String path = key.path().substring(COUNTS_PREFIX.length());
        return path.substring(0, path.indexOf('/'));
    }
}
