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

/** Translates the pairs of a start message; absent keys mean that the thing they speak of is not there. */
public final class SettingsReader {
    private SettingsReader() { }

    public static Settings read(Fields f) {
        Limits limits = new Limits(f.count("limits.max_attempts", 1), f.flag("limits.may_duplicate", false),
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
        return new Settings(f.whole("rng_seed"), f.count("ordinal"), f.count("balancers"), f.text("az", ""),
                f.text("discovery", "automatic").equals("subscribe"), classes(f), plans(f),
                names.isEmpty() ? List.of() : List.of(names.split(",")), limits, rules, sharing);
    }

    private static List<RequestClass> classes(Fields f) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < f.count("classes.count"); i++) {
            String at = "classes." + i + ".";
            classes.add(new RequestClass(f.text(at + "name"), effect(f.text(at + "effect")),
                    scope(f.text(at + "key_scope", "all")), f.number(at + "window_ms", 0),
                    f.number(at + "goal_time_ms"), f.number(at + "hard_limit_ms"), f.number(at + "worth", 1),
                    f.number(at + "late_value", 0), f.flag(at + "streaming", false)));
        }
        return List.copyOf(classes);
    }

    private static List<Plan> plans(Fields f) {
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < f.count("plans.count", 0); i++) {
            String at = "plans." + i + ".";
            plans.add(new Plan(f.text(at + "name"), f.number(at + "units_per_s", 0), f.number(at + "depth", 0),
                    f.count(at + "at_once", 0), f.number(at + "value_factor", 1),
                    f.number(at + "over_worth", 0), f.number(at + "excess_cost", 0),
                    f.number(at + "cap_rate", 0), f.number(at + "never_over_depth", 0),
                    f.number(at + "cap_slack", 0)));
        }
        return List.copyOf(plans);
    }

    private static Effect effect(String word) {
        return switch (word) {
            case "repeatable" -> Effect.REPEATABLE;
            case "by_key" -> Effect.KEYED;
            case "once" -> Effect.ONCE;
            default -> throw new WireFault("unknown effect '" + word + "'");
        };
    }

    private static Scope scope(String word) {
        return switch (word) {
            case "all" -> Scope.ALL;
            case "zone" -> Scope.ZONE;
            case "cell" -> Scope.CELL;
            default -> throw new WireFault("unknown key scope '" + word + "'");
        };
    }
}
