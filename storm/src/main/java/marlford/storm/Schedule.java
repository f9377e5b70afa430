package marlford.storm;

import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import marlford.storm.Fault.Kind;

/** The faults of a run in their order; drawn from a seed, or read from a file of JSON lines. */
record Schedule(List<Fault> faults) {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();
    private static final int PAUSE_MIN_MS = 300;
    private static final int PAUSE_MAX_MS = 1500;
    private static final int LASTS_MIN_MS = 200;
    private static final int LASTS_MAX_MS = 3500;
    private static final int QUIET_MS = 3000; // at the end
    private static final int AFTER_MS = 1500; // after a fault's end its process still comes back
    private static final int TAKEN_IN_MS = 10_000; // until a voter with another disk votes again, at most
    private static final int BEYOND = 8;
    private static final Kind[] KINDS = {
        Kind.KILL,
        Kind.KILL,
        Kind.TERM,
        Kind.STOP,
        Kind.STOP,
        Kind.ISOLATE,
        Kind.ISOLATE,
        Kind.MUTE,
        Kind.DEAF,
        Kind.CUT_RESOURCE,
        Kind.SLOW_RESOURCE,
        Kind.RESET,
        Kind.HANGING_SYNC,
        Kind.FAILING_SYNC,
        Kind.FULL_DISK,
        Kind.KILL_ALL,
        Kind.EMPTY_DISK,
        Kind.OLDER_DISK,
        Kind.TURNED_BIT
    };

    static Schedule read(Path file) throws IOException {
        List<Fault> faults = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            if (!line.isBlank() && !line.startsWith("#")) {
                faults.add(JSON.readValue(line, Fault.class));
            }
        }
        faults.sort(Comparator.comparingLong(Fault::at));
        return new Schedule(List.copyOf(faults));
    }

    void write(Path file) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Fault f : faults) {
            text.append(JSON.writeValueAsString(f)).append('\n');
        }
        Files.writeString(file, text);
    }

    /**
     * Faults at random. At most times fewer than half of the voters are disturbed, so that there is a fleet whose work can be
     * disturbed; one fault in {@value #BEYOND} comes without regard to that.
     *
     * @param voters how many of the gateways vote; fewer disks than half of theirs are lost, so that whatever else happens
     *        the fleet has to come back
     */
    static Schedule drawn(long seed, int gateways, int voters, long ms) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        int disks = 0;
        for (long at = PAUSE_MIN_MS;
                at < ms - QUIET_MS;
                at += PAUSE_MIN_MS + random.nextInt(PAUSE_MAX_MS - PAUSE_MIN_MS)) {
            Kind kind = KINDS[random.nextInt(KINDS.length)];
            long lasts = LASTS_MIN_MS + random.nextInt(LASTS_MAX_MS - LASTS_MIN_MS);
            boolean disk = isOfDisk(kind);
            int chosen = random.nextInt(gateways + 2);
            String who = chosen == gateways ? "leader" : chosen > gateways ? "holder" : "g" + chosen;
            long now = at;
            long disturbed = faults.stream()
                    .filter(f -> now < f.at() + f.lasts() + (isOfDisk(f.kind()) ? TAKEN_IN_MS : AFTER_MS)
                            && f.kind() != Kind.CUT_RESOURCE
                            && f.kind() != Kind.SLOW_RESOURCE)
                    .map(f -> String.valueOf(f.who()))
                    .distinct()
                    .count();
            boolean beyond = random.nextInt(BEYOND) == 0;
            if (!beyond && (kind == Kind.KILL_ALL || disturbed >= (voters - 1) / 2)
                    || disk && disks >= (voters - 1) / 2) {
                continue;
            }
            if (disk) {
                disks++;
                who = "g" + random.nextInt(voters);
            }
            faults.add(new Fault(at, kind, kind == Kind.KILL_ALL ? null : who, Math.min(lasts, ms - at)));
        }
        return new Schedule(List.copyOf(faults));
    }

    /** Whether a voter comes back with an empty disk. */
    private static boolean isOfDisk(Kind kind) {
        return kind == Kind.EMPTY_DISK || kind == Kind.OLDER_DISK || kind == Kind.TURNED_BIT;
    }

    /** Whether each fault finds whom it names among as many gateways. */
    boolean fits(int gateways) {
        return faults.stream()
                .filter(f -> f.kind() != Kind.HANG_HOST)
                .map(Fault::who)
                .allMatch(who -> who == null
                        || who.equals("leader")
                        || who.equals("holder")
                        || IntStream.range(0, gateways).anyMatch(i -> who.equals("g" + i)));
    }

    Schedule without(int index) {
        List<Fault> rest = new ArrayList<>(faults);
        rest.remove(index);
        return new Schedule(List.copyOf(rest));
    }
}
