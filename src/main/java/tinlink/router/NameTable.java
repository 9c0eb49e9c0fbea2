package tinlink.router;

import tinlink.config.FlatSettings;

import java.util.ArrayList;
import java.util.List;

/** Numbers for names: those of the settings first, others as they come. There are few. */
final class NameTable {
    private final List<String> names;

    NameTable(List<String> names) {
        this.names = new ArrayList<>(names);
    }

    /** The number of that name, a new one where it has none. */
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
