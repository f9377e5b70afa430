package marlford.gateway.net;

import java.util.HashSet;
import java.util.Set;
import marlford.gateway.EngineApi.Effect;
import marlford.gateway.EngineApi.Limits;
import marlford.gateway.EngineApi.Plan;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.EngineApi.Rules;
import marlford.gateway.EngineApi.Settings;
import marlford.gateway.EngineApi.Sharing;

/**
 * Whether settings can be at all. What is out of range is named before a listener opens: a time below nothing or a rate
 * that is none would else show as requests that all fail, or as books that never fill.
 */
final class SettingsValidator {
    private SettingsValidator() { }

    /** The settings, or an IllegalArgumentException that names what is wrong with them. */
    static Settings checked(Settings s) {
        hold(s.gateways() > 0, "balancers", s.gateways(), "above 0");
        hold(s.me() >= 0 && s.me() < s.gateways(), "ordinal", s.me(), "below the number of balancers");
        hold(!s.classes().isEmpty(), "classes", 0, "at least one");
        Set<String> names = new HashSet<>();
        for (RequestClass c : s.classes()) {
            String at = "classes." + c.name() + ".";
            hold(names.add(c.name()), at + "name", 2, "there once");
            hold(c.deadlineMs() > 0, at + "hard_limit_ms", c.deadlineMs(), "above 0");
            hold(c.aimMs() > 0, at + "goal_time_ms", c.aimMs(), "above 0");
            hold(c.worth() >= 0, at + "worth", c.worth(), "0 or more");
            hold(c.lateValue() >= 0, at + "late_value", c.lateValue(), "0 or more");
            hold(c.effect() != Effect.KEYED || c.windowMs() > 0, at + "window_ms", c.windowMs(), "above 0");
        }
        Set<String> plans = new HashSet<>();
        for (Plan p : s.plans()) {
            String at = "plans." + p.name() + ".";
            hold(plans.add(p.name()), at + "name", 2, "there once");
            hold(p.rate() >= 0, at + "units_per_s", p.rate(), "0 or more");
            hold(p.burst() >= 0, at + "depth", p.burst(), "0 or more");
            hold(p.openLimit() >= 0, at + "at_once", p.openLimit(), "0 or more");
            hold(p.ceilingRate() >= 0, at + "cap_rate", p.ceilingRate(), "0 or more");
            hold(p.ceilingBurst() >= 0, at + "never_over_depth", p.ceilingBurst(), "0 or more");
        }
        limits(s.limits());
        rules(s.rules());
        Sharing shared = s.sharing();
        hold(shared.maxUnits() > 0, "specifics.max_units", shared.maxUnits(), "above 0");
        hold(shared.mailPerSecond() >= 0, "specifics.mail_per_s", shared.mailPerSecond(), "0 or more");
        return s;
    }

    private static void limits(Limits l) {
        hold(l.maxAttempts() > 0, "limits.max_attempts", l.maxAttempts(), "above 0");
        hold(l.maxRetryAfterMs() >= 0, "limits.max_retry_after_ms", l.maxRetryAfterMs(), "0 or more");
    }

    private static void rules(Rules r) {
        hold(r.drainGraceMs() >= 0, "rules.drain_grace_ms", r.drainGraceMs(), "0 or more");
        hold(r.fallMs() >= 0, "rules.fall_ms", r.fallMs(), "0 or more");
        hold(r.fallMultiple() > 0, "rules.fall_multiple", r.fallMultiple(), "above 0");
        hold(r.coldFrom() >= 0 && r.coldFrom() <= 1, "rules.cold_from", r.coldFrom(), "between 0 and 1");
        hold(r.warmWithinMs() >= 0, "rules.warm_within_ms", r.warmWithinMs(), "0 or more");
    }

    static void hold(boolean right, String name, double value, String wanted) {
        if (!right) {
            throw new IllegalArgumentException("settings: '" + name + "' is " + value + " and must be " + wanted);
        }
    }
}
