import java.util.List;
import java.util.Map;

/** The settings of a deployment, and the file in which a controller gets them. */
final class Settings {
    static final List<String> NODES = List.of("bobbin-0", "bobbin-1", "bobbin-2");

    double stateRps = 200;
    double stateWriteRps = 80;
    double stateValueKb = 16;
    int stateOps = 24;
    /** The table settings.state.next; empty if no change of the limits is announced. */
    String stateNext = "";
    double cloudRps = 5;
    double listLag = 6;
    double report = 1.5;
    double lease = 14;
    double gangWait = 30;
    double gangPeer = 6;
    double cancel = 44;
    int sockets = 900;
    int initialSize = 9;
    String typeName = "telar-16";
    double cpus = 16;
    double gpus = 2;
    double memory = 64;
    double fetch = 0.2;
    double cache = 150;
    double price = 5.66;
    double spotPrice = 1.19;
    double boot = 25;
    String zone = "ambato-centro";
    String team = "secretaria-tecnica";

    /** The sizes of the brief for the mills (tungurahua-textil). */
    static Settings mills() {
        return new Settings();
    }

    /** The sizes of the page on pipelines for the clinics (kitami-motion-next), in one zone. */
    static Settings clinics() {
        Settings s = new Settings();
        s.stateRps = 100;
        s.stateWriteRps = 18;
        s.stateValueKb = 4;
        s.stateOps = 8;
        s.cloudRps = 5;
        s.listLag = 4;
        s.report = 4;
        s.lease = 24;
        s.gangWait = 30;
        s.gangPeer = 8;
        s.cancel = 49;
        s.sockets = 2000;
        s.typeName = "yukiwork-48";
        s.cpus = 48;
        s.gpus = 4;
        s.memory = 288;
        s.fetch = 1.0;
        s.price = 16.19;
        s.spotPrice = 4.43;
        s.boot = 30;
        s.zone = "sapporo-east";
        s.team = "modelling";
        return s;
    }

    String toml(String node, String api, Map<String, String> internal, String cloud, String state) {
        StringBuilder t = new StringBuilder();
        t.append("host_name = \"" + node + "\"\nlocation = \"" + zone + "\"\napi_addr = \"" + api + "\"\n");
        t.append("internal_addr = \"" + internal.get(node) + "\"\n\n");
        for (String other : NODES) {
            if (other.equals(node)) continue;
            t.append("[[members]]\nhost_name = \"" + other + "\"\nlocation = \"" + zone + "\"\naddr = \"" + internal.get(other) + "\"\n\n");
        }
        t.append("[outside]\ncloud = \"" + cloud + "\"\nstate = \"" + state + "\"\n\n");
        t.append("[settings]\ninitial_size = " + initialSize + "\nzones = [\"" + zone + "\"]\nskew_ms = 5.0\n\n");
        t.append("[[settings.teams]]\nname = \"" + team + "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n");
        t.append("[settings.workers]\nreport_s = " + report + "\nlease_s = " + lease + "\ngang_wait_s = " + gangWait);
        t.append("\ngang_peer_s = " + gangPeer + "\ncancel_s = " + cancel + "\n\n");
        t.append("[settings.state]\nrps = " + stateRps + "\nwrite_rps = " + stateWriteRps + "\nvalue_kb = " + stateValueKb);
        t.append("\ntxn_ops = " + stateOps + "\n\n" + stateNext);
        t.append("[settings.cloud]\nrps = " + cloudRps + "\nlist_lag_s = " + listLag + "\n\n");
        t.append("[settings.quota]\ncores = 0.34\nram_mb = 268.0\nfd_limit = " + sockets + "\n");
        return t.toString();
    }
}
