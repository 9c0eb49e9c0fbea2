package tinlink.router;

import tinlink.config.FlatSettings;

import java.util.ArrayList;
import java.util.List;

/**
 * Assigns numeric ids to names: first to those in the settings, then to others in the order in which they
 * appear. The lookup is linear, since there are few names.
 */
final class NameTable {
    private final List<String> names;

    NameTable(List<String> names) {
        this.names = new ArrayList<>(names);
    }

    /** Returns the id of that name and assigns one if the name is new. */
    int idOf(String name) {
        String plainName = FlatSettings.plainName(name);
        if (!names.contains(plainName)) {
            names.add(plainName);
        }
        return names.indexOf(plainName);
    }

    String nameOf(int id) {
        return names.get(id);
    }
}
