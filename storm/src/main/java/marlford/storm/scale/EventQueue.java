package marlford.storm.scale;

import java.util.PriorityQueue;

/** Work at moments of virtual time, in order of time and, at one moment, in the order in which it was added. */
final class EventQueue {
    private record Event(double at, long order, Runnable work) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double now;
    private long added;

    EventQueue(double now) {
        this.now = now;
    }

    /** Virtual time, in milliseconds. */
    double now() {
        return now;
    }

    void at(double time, Runnable work) {
        events.add(new Event(Math.max(now, time), added++, work));
    }

    void after(double ms, Runnable work) {
        at(now + ms, work);
    }

    /** Forgets all that is still to come. */
    void clear() {
        events.clear();
    }

    /** Does all that is due up to that moment, which is now afterwards. */
    void runTo(double end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = next.at();
            next.work().run();
        }
        now = end;
    }
}
