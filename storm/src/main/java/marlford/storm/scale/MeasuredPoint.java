package marlford.storm.scale;

import java.util.Map;

/**
 * What one setting of a sweep gave.
 *
 * @param settings by name; a sweep's variables are numbers
 * @param figures by name
 */
public record MeasuredPoint(Map<String, Object> settings, Map<String, Double> figures) {}
