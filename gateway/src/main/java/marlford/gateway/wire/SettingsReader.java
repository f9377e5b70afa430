package marlford.gateway.wire;

import java.util.ArrayList;
import java.util.List;
import marlford.gateway.EngineApi.Effect;
import marlford.gateway.EngineApi.Limits;
import marlford.gateway.EngineApi.Plan;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.EngineApi.Rules;
import marlford.gateway.EngineApi.Scope;
import marlford.gateway.EngineApi.Settings;
import marlford.gateway.EngineApi.Sharing;

/** Translates the fields of a start message into settings. An absent optional field means that the feature does not exist. */
public final class SettingsReader {
    private SettingsReader() { }

    /**
     * The settings in these fields.
     *
     * @throws WireFormatException if a required field is missing, or one is malformed
     */
    public static Settings read(Fields f) {
        Limits limits = new Limits(f.intValue("limits.max_attempts", 1), f.flag("limits.may_duplicate", false),
                f.flag("limits.cancel", false), f.flag("limits.probes", false),
                f.flag("limits.peer_messages", false), f.flag("limits.retry_after", false),
                f.number("limits.max_retry_after_ms", 0));
        Rules rules = new Rules(f.number("rules.answer_slack_ms", 0), f.number("rules.drain_grace_ms", 0),
                f.number("rules.fall_multiple", 1), f.number("rules.fall_ms", 0),
                f.number("rules.cold_from", 0), f.number("rules.warm_within_ms", 0),
                f.number("rules.ask_within_ms", 0));
        Sharing sharing = new Sharing(f.flag("specifics.counter", false), f.number("specifics.counter_price", 0),
                f.number("specifics.meter_period_ms", 0), f.flag("specifics.post_paid", false),
                f.number("specifics.max_units", 1), f.number("specifics.mail_per_s", 0),
                f.number("costs.peer", 0), f.number("costs.probe", 0), f.number("costs.cross_zone", 0));
        String names = f.text("telemetry.names", "");
        return new Settings(f.longValue("rng_seed"), f.intValue("ordinal"), f.intValue("balancers"), f.text("az", ""),
                f.text("discovery", "automatic").equals("subscribe"), classes(f), plans(f),
                names.isEmpty() ? List.of() : List.of(names.split(",")), limits, rules, sharing);
    }

    private static List<RequestClass> classes(Fields f) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < f.intValue("classes.count"); i++) {
            String prefix = "classes." + i + ".";
            classes.add(new RequestClass(f.text(prefix + "name"), effect(f.text(prefix + "effect")),
                    scope(f.text(prefix + "key_scope", "all")), f.number(prefix + "window_ms", 0),
                    f.number(prefix + "goal_time_ms"), f.number(prefix + "hard_limit_ms"), f.number(prefix + "worth", 1),
                    f.number(prefix + "late_value", 0), f.flag(prefix + "streaming", false)));
        }
        return List.copyOf(classes);
    }

    private static List<Plan> plans(Fields f) {
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < f.intValue("plans.count", 0); i++) {
            String prefix = "plans." + i + ".";
            plans.add(new Plan(f.text(prefix + "name"), f.number(prefix + "units_per_s", 0), f.number(prefix + "depth", 0),
                    f.intValue(prefix + "at_once", 0), f.number(prefix + "value_factor", 1),
                    f.number(prefix + "over_worth", 0), f.number(prefix + "excess_cost", 0),
                    f.number(prefix + "cap_rate", 0), f.number(prefix + "never_over_depth", 0),
                    f.number(prefix + "cap_slack", 0)));
        }
        return List.copyOf(plans);
    }

    private static Effect effect(String value) {
        return switch (value) {
            case "repeatable" -> Effect.REPEATABLE;
            case "by_key" -> Effect.KEYED;
            case "once" -> Effect.ONCE;
            default -> throw new WireFormatException("expected effect repeatable, by_key or once, found '" + value + "'");
        };
    }

    private static Scope scope(String value) {
        return switch (value) {
            case "all" -> Scope.ALL;
            case "zone" -> Scope.ZONE;
            case "cell" -> Scope.CELL;
            default -> throw new WireFormatException("expected key scope all, zone or cell, found '" + value + "'");
        };
    }
}
