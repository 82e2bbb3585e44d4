package io.banyantally.standins.measure;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;

/** Reads processor time and memory of this process. */
final class ProcessCost {

    private static final int GARBAGE_COLLECTIONS = 3;
    private static final long SETTLE_MILLIS = 200;

    private ProcessCost() {}

    /** Returns the processor time of all threads in nanoseconds. */
    static long processorNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    /** Returns the bytes of the heap that are in use after garbage collections. */
    static long heapBytes() throws InterruptedException {
        for (int collection = 0; collection < GARBAGE_COLLECTIONS; collection++) {
            System.gc();
            Thread.sleep(SETTLE_MILLIS);
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Returns the bytes of direct buffers, which hold network data outside the heap. */
    static long directBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(pool -> pool.getName().equals("direct"))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
    }
}
