package glenspool.config

import glenspool.core.Tuning
import org.luaj.vm2.LuaError
import org.luaj.vm2.LuaTable
import org.luaj.vm2.LuaValue
import java.io.File
import java.io.IOException
import kotlin.time.DurationUnit

/**
 * The operators' optional Lua script, which may change the scheduler's tuning parameters. The table `tuning` holds
 * their defaults, and the table `deployment` holds facts about the deployment. The script runs once in a [LuaSandbox]
 * before anything is started. A script that fails, or sets an unknown name or a value out of range, is rejected as a
 * whole.
 */
class OperatorScript(private val settings: Settings) {
    /** @throws SettingsError if the script can't be read or is rejected */
    fun load(file: File): Tuning =
        try {
            run(file.readText(), file.name)
        } catch (e: IOException) {
            throw SettingsError(listOf("${file.path}: ${e.message}"))
        }

    /**
     * Runs the script [source]; error messages refer to the script as [name].
     *
     * @throws SettingsError if the script is rejected
     */
    fun run(source: String, name: String): Tuning {
        val globals = LuaSandbox.globals()
        globals.set("tuning", defaults())
        globals.set("deployment", deployment())
        try {
            globals.load(source, "@$name").call()
        } catch (e: LuaError) {
            throw SettingsError(listOf(e.message ?: "$name: the script failed"))
        }
        val result = globals.get("tuning")
        if (!result.istable()) throw SettingsError(listOf("$name: tuning must stay a table"))
        return tuning(result.checktable(), name)
    }

    private fun defaults(): LuaTable {
        val table = LuaTable()
        for (parameter in TuningParameter.ALL) {
            table.set(parameter.name, LuaValue.valueOf(parameter.read(Tuning())))
        }
        return table
    }

    private fun deployment() =
        LuaTable().apply {
            set("zones", settings.zones.size)
            set("report_s", settings.workers.heartbeatInterval.toDouble(DurationUnit.SECONDS))
            set("lease_s", settings.workers.lease.toDouble(DurationUnit.SECONDS))
            set("teams", settings.teams.size)
        }

    private fun tuning(table: LuaTable, scriptName: String): Tuning {
        val problems = unknownNames(table).mapTo(ArrayList()) { "$scriptName: tuning.$it: no such value" }
        var tuning = Tuning()
        for (parameter in TuningParameter.ALL) {
            val value = table.get(parameter.name)
            val number = numberOf(value)
            if (!number.isNaN() && number in parameter.range) {
                tuning = parameter.change(tuning, number)
            } else {
                val range = "from ${parameter.range.start} to ${parameter.range.endInclusive}"
                problems += "$scriptName: tuning.${parameter.name}: a number $range is needed, not $value"
            }
        }
        if (problems.isNotEmpty()) throw SettingsError(problems)
        return tuning
    }

    private fun unknownNames(table: LuaTable): List<String> =
        table.keys().map { it.tojstring() }.filter { name -> TuningParameter.ALL.none { it.name == name } }

    /** Returns NaN if [value] is not a number. A string of digits, which Lua treats as a number, is not accepted. */
    private fun numberOf(value: LuaValue): Double {
        val isNumber = value.isnumber() && !value.isstring() || value.type() == LuaValue.TNUMBER
        return if (isNumber) value.todouble() else Double.NaN
    }
}
