package glenspool.cli

/** The settings file of a [ClassLoadingRun]. */
internal object ClassLoadingSettings {
    /**
     * @param simulatedPort port of the simulated cloud, key-value store and one other controller
     * @param closedPort port without a listener, which stands for a controller that is down
     */
    @Suppress("LongMethod") // The body is a single string.
    fun toml(apiPort: Int, internalPort: Int, simulatedPort: Int, closedPort: Int): String =
        """
        host_name = "class-loading"
        location = "here"
        api_addr = "127.0.0.1:$apiPort"
        internal_addr = "127.0.0.1:$internalPort"
        [[members]]
        host_name = "absent"
        location = "here"
        addr = "127.0.0.1:$closedPort"
        [[members]]
        host_name = "other"
        location = "here"
        addr = "127.0.0.1:$simulatedPort"
        [outside]
        cloud = "127.0.0.1:$simulatedPort"
        state = "127.0.0.1:$simulatedPort"
        [settings]
        initial_size = 1
        zones = ["here"]
        skew_ms = 5.0
        [[settings.teams]]
        name = "all"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0
        [settings.workers]
        report_s = 1.0
        lease_s = 10.0
        gang_wait_s = 10.0
        gang_peer_s = 5.0
        cancel_s = 30.0
        [settings.state]
        rps = 100.0
        write_rps = 50.0
        value_kb = 16.0
        txn_ops = 16
        [settings.cloud]
        rps = 5.0
        list_lag_s = 1.0
        """.trimIndent()
}
