package marlford.storm.scale;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** What a run was measured on. */
public record Machine(int cores, long memoryMb, long heapMb, String java, String system) {
    private static final long MB = 1 << 20;

    static Machine here() {
        OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        return new Machine(
                Runtime.getRuntime().availableProcessors(),
                system.getTotalMemorySize() / MB,
                Runtime.getRuntime().maxMemory() / MB,
                System.getProperty("java.version"),
                system.getName() + " " + system.getVersion());
    }
}
