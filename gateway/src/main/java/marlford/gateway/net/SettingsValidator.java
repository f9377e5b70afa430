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
 * Checks that settings are within their ranges. An impossible value is reported before a listener opens: a time of zero or a
 * negative rate would otherwise only show as requests that all fail, or as quota buckets that never fill.
 */
final class SettingsValidator {
    private SettingsValidator() { }

    /**
     * Returns the settings if they are valid.
     *
     * @throws IllegalArgumentException naming the first setting that is out of range
     */
    static Settings validate(Settings settings) {
        require(settings.gateways() > 0, "balancers", settings.gateways(), "above 0");
        require(settings.me() >= 0 && settings.me() < settings.gateways(), "ordinal", settings.me(), "below the number of balancers");
        require(!settings.classes().isEmpty(), "classes", 0, "at least 1 (the number of request classes)");
        Set<String> classNames = new HashSet<>();
        for (RequestClass requestClass : settings.classes()) {
            String prefix = "classes." + requestClass.name() + ".";
            require(classNames.add(requestClass.name()), prefix + "name", 2, "1 (the number of request classes with this name)");
            require(requestClass.deadlineMs() > 0, prefix + "hard_limit_ms", requestClass.deadlineMs(), "above 0");
            require(requestClass.goalMs() > 0, prefix + "goal_time_ms", requestClass.goalMs(), "above 0");
            require(requestClass.worth() >= 0, prefix + "worth", requestClass.worth(), "0 or more");
            require(requestClass.lateValue() >= 0, prefix + "late_value", requestClass.lateValue(), "0 or more");
            require(requestClass.effect() != Effect.KEYED || requestClass.windowMs() > 0, prefix + "window_ms", requestClass.windowMs(),
                    "above 0");
        }
        Set<String> planNames = new HashSet<>();
        for (Plan plan : settings.plans()) {
            String prefix = "plans." + plan.name() + ".";
            require(planNames.add(plan.name()), prefix + "name", 2, "1 (the number of plans with this name)");
            require(plan.rate() >= 0, prefix + "units_per_s", plan.rate(), "0 or more");
            require(plan.burst() >= 0, prefix + "depth", plan.burst(), "0 or more");
            require(plan.openLimit() >= 0, prefix + "at_once", plan.openLimit(), "0 or more");
            require(plan.ceilingRate() >= 0, prefix + "cap_rate", plan.ceilingRate(), "0 or more");
            require(plan.ceilingBurst() >= 0, prefix + "never_over_depth", plan.ceilingBurst(), "0 or more");
        }
        validateLimits(settings.limits());
        validateRules(settings.rules());
        Sharing sharing = settings.sharing();
        require(sharing.maxUnits() > 0, "specifics.max_units", sharing.maxUnits(), "above 0");
        require(sharing.messagesPerSecond() >= 0, "specifics.mail_per_s", sharing.messagesPerSecond(), "0 or more");
        return settings;
    }

    private static void validateLimits(Limits limits) {
        require(limits.maxAttempts() > 0, "limits.max_attempts", limits.maxAttempts(), "above 0");
        require(limits.maxRetryAfterMs() >= 0, "limits.max_retry_after_ms", limits.maxRetryAfterMs(), "0 or more");
    }

    private static void validateRules(Rules rules) {
        require(rules.drainGraceMs() >= 0, "rules.drain_grace_ms", rules.drainGraceMs(), "0 or more");
        require(rules.overloadWindowMs() >= 0, "rules.fall_ms", rules.overloadWindowMs(), "0 or more");
        require(rules.overloadFactor() > 0, "rules.fall_multiple", rules.overloadFactor(), "above 0");
        require(rules.coldShare() >= 0 && rules.coldShare() <= 1, "rules.cold_from", rules.coldShare(), "between 0 and 1");
        require(rules.warmWithinMs() >= 0, "rules.warm_within_ms", rules.warmWithinMs(), "0 or more");
    }

    /** Throws an exception that names the setting, its value and the valid range unless the condition holds. */
    static void require(boolean valid, String name, double value, String expected) {
        if (!valid) {
            throw new IllegalArgumentException("settings: '" + name + "' is " + value + " and must be " + expected);
        }
    }
}
