package tinlink.start;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A file of settings: JSON with comments, trailing commas, single quotes and bare keys. Every key
 * is asked for or refused; a message names the file, the key and what is allowed.
 */
public final class JsonFile {
    private static final long MOST_BYTES = 1 << 20;
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(
                    JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA,
                    JsonReadFeature.ALLOW_SINGLE_QUOTES, JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private final String file;
    private final String path;
    private final JsonNode node;
    private final Set<String> asked = new HashSet<>();
    private final List<JsonFile> within = new ArrayList<>();

    private JsonFile(String file, String path, JsonNode node) {
        this.file = file;
        this.path = path;
        this.node = node;
    }

    /**
     * Reads a file of JSON.
     *
     * @throws BadInput where it can't be read, or is no JSON object
     */
    public static JsonFile of(String file) {
        try {
            if (Files.size(Path.of(file)) > MOST_BYTES) {
                throw new BadInput(file + ": it is over " + MOST_BYTES + " bytes");
            }
            return of(file, Files.readString(Path.of(file)));
        } catch (IOException e) {
            throw new BadInput(file + ": it can't be read: " + e.getMessage());
        }
    }

    public static JsonFile of(String file, String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node == null || !node.isObject()) {
                throw new BadInput(file + ": it is no JSON object");
            }
            return new JsonFile(file, "", node);
        } catch (JsonProcessingException e) {
            throw new BadInput(file + ": line "
                    + (e.getLocation() == null ? "?" : e.getLocation().getLineNr()) + ": "
                    + e.getOriginalMessage());
        }
    }

    public BadInput bad(String key, String what) {
        return new BadInput(file + ": '" + path + key + "' " + what);
    }

    private JsonNode get(String key) {
        asked.add(key);
        JsonNode value = node.get(key);
        return value == null || value.isNull() ? null : value;
    }

    public boolean has(String key) {
        return get(key) != null;
    }

    public String text(String key, String absent) {
        JsonNode v = get(key);
        if (v == null) {
            return absent;
        }
        if (!v.isTextual() || v.textValue().isEmpty()) {
            throw bad(key, "is no text");
        }
        return v.textValue();
    }

    public String text(String key) {
        String v = text(key, null);
        if (v == null) {
            throw bad(key, "is missing");
        }
        return v;
    }

    public double number(String key, double absent, double least, double most) {
        JsonNode v = get(key);
        if (v == null) {
            return absent;
        }
        if (!v.isNumber() || v.doubleValue() < least || v.doubleValue() > most) {
            throw bad(
                    key,
                    "is no number from " + Figures.shown(least) + " to " + Figures.shown(most));
        }
        return v.doubleValue();
    }

    public int whole(String key, int absent, int least, int most) {
        double v = number(key, absent, least, most);
        if (v != Math.rint(v)) {
            throw bad(key, "is no whole number from " + least + " to " + most);
        }
        return (int) v;
    }

    /** Milliseconds, as microseconds. */
    public long micros(String key, double absentMs, double leastMs, double mostMs) {
        return Math.round(1000 * number(key, absentMs, leastMs, mostMs));
    }

    public boolean flag(String key, boolean absent) {
        JsonNode v = get(key);
        if (v != null && !v.isBoolean()) {
            throw bad(key, "is neither true nor false");
        }
        return v == null ? absent : v.booleanValue();
    }

    public List<String> texts(String key) {
        List<String> all = new ArrayList<>();
        JsonNode v = get(key);
        if (v != null && !v.isArray()) {
            throw bad(key, "is no list");
        }
        for (JsonNode one : v == null ? JsonNodeFactory.instance.arrayNode() : v) {
            if (!one.isTextual() || one.textValue().isEmpty()) {
                throw bad(key, "is no list of texts");
            }
            all.add(one.textValue());
        }
        return all;
    }

    /** The object under that key; an empty one where it is absent. */
    public JsonFile object(String key) {
        JsonNode v = get(key);
        if (v != null && !v.isObject()) {
            throw bad(key, "is no object");
        }
        return within(path + key + ".", v == null ? JsonNodeFactory.instance.objectNode() : v);
    }

    public List<JsonFile> objects(String key) {
        List<JsonFile> all = new ArrayList<>();
        JsonNode v = get(key);
        if (v != null && !v.isArray()) {
            throw bad(key, "is no list");
        }
        for (int i = 0; v != null && i < v.size(); i++) {
            if (!v.get(i).isObject()) {
                throw bad(key + "." + i, "is no object");
            }
            all.add(within(path + key + "." + i + ".", v.get(i)));
        }
        return all;
    }

    private JsonFile within(String at, JsonNode value) {
        JsonFile f = new JsonFile(file, at, value);
        within.add(f);
        return f;
    }

    /** The names under this object; for one whose keys are names. */
    public List<String> names() {
        List<String> all = new ArrayList<>();
        node.fieldNames().forEachRemaining(all::add);
        return all;
    }

    /**
     * Danger: a key that is spelt wrong and passed over leaves a default where a setting was meant.
     */
    public void nothingElse() {
        for (String name : names()) {
            if (!asked.contains(name)) {
                throw bad(
                        name,
                        "is not known here; known are "
                                + String.join(", ", asked.stream().sorted().toList()));
            }
        }
        within.forEach(JsonFile::nothingElse);
    }
}
