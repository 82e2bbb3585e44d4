package io.banyantally.internal.deployment;

import io.banyantally.model.VmId;
import io.banyantally.platform.StoreKey;

/** Keys of the state that the gateway keeps in the platform's store. */
public final class GatewayStoreKeys {

    /** Prefix of the keys that all VMs watch: the serving VMs and the holder of the duties. */
    public static final String LIVE_PREFIX = "banyantally/live/";

    /** Prefix of the keys of the serving VMs; each key expires with the lease of its VM. */
    public static final String MEMBER_PREFIX = LIVE_PREFIX + "members/";

    /** Key of the holder of the duties. */
    public static final StoreKey DUTY_HOLDER = new StoreKey(LIVE_PREFIX + "duties");

    /** Prefix of the keys of usage counts and sealed windows; read by the holder of the duties only. */
    public static final String USAGE_PREFIX = "banyantally/usage/";

    /** Key of the first window that may be sealed anew in an era of the store. */
    public static final StoreKey SEALING_START = new StoreKey(USAGE_PREFIX + "sealing-start");

    private static final String COUNTS_PREFIX = USAGE_PREFIX + "counts/";
    private static final String SEALED_PREFIX = USAGE_PREFIX + "sealed/";

    private GatewayStoreKeys() {}

    /** Returns the key of the entry of a VM. */
    public static StoreKey member(VmId vm) {
        return new StoreKey(MEMBER_PREFIX + vm);
    }

    /** Returns the key of the usage counts of one process of a VM. */
    public static StoreKey usageCounts(VmId vm, String incarnation) {
        return new StoreKey(COUNTS_PREFIX + vm + "/" + incarnation);
    }

    /** Returns the key of the sealed counts of a window. */
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

    /** Returns the window whose sealed counts a key holds. */
    public static long windowOfSealed(StoreKey key) {
        return Long.parseLong(key.path().substring(SEALED_PREFIX.length()));
    }

    /** Returns the name of the VM whose counts a key holds. */
    public static String vmOfUsageCounts(StoreKey key) {
        String path = key.path().substring(COUNTS_PREFIX.length());
        return path.substring(0, path.indexOf('/'));
    }
}
