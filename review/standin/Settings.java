import java.util.List;

/** The settings of a small deployment. The defaults are those of the textile site. */
final class Settings {
    double reportS = 1.5;
    double leaseS = 14;
    double cancelS = 44;
    double gangWaitS = 30;
    double gangPeerS = 8;
    double rps = 200;
    double writeRps = 80;
    double valueKb = 16;
    int txnOps = 24;
    double cloudRps = 5;
    double listLagS = 6;
    int fdLimit = 900;
    double ramMb = 181;
    double cores = 0.17;
    int initialSize = 9;
    List<String> zones = List.of("ambato-centro");
    List<String> locations = List.of("ambato-centro", "ambato-centro", "ambato-centro");
    List<String> teams = List.of("secretaria-tecnica", "uta-textiles");
    double[] gpusMax = {36, 0};
    double[] gpus = {12, 0};
    // The machine type.
    String frame = "telar-16";
    double cpus = 16;
    double accelerators = 2;
    double memoryGb = 64;
    double fetchGbPerS = 0.2;
    double startupS = 25;

    /** The settings of the motion site, with two of its teams and a guest. */
    static Settings motion() {
        Settings settings = new Settings();
        settings.reportS = 3;
        settings.leaseS = 24;
        settings.cancelS = 49;
        settings.rps = 100;
        settings.writeRps = 18;
        settings.valueKb = 4;
        settings.txnOps = 8;
        settings.listLagS = 4;
        settings.fdLimit = 2000;
        settings.ramMb = 268;
        settings.cores = 0.34;
        settings.initialSize = 3;
        settings.zones = List.of("sapporo-east", "sapporo-west", "asahikawa");
        settings.locations = settings.zones;
        settings.teams = List.of("clinic-apps", "modelling", "obihiro-uni");
        settings.gpus = new double[] {0, 0, 0};
        settings.gpusMax = new double[] {0, 0, 0};
        settings.frame = "yukiwork-48";
        settings.cpus = 48;
        settings.accelerators = 4;
        settings.memoryGb = 288;
        settings.fetchGbPerS = 1;
        settings.startupS = 30;
        return settings;
    }
}
