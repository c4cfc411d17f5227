package glenspool.config

import org.luaj.vm2.Globals
import org.luaj.vm2.LoadState
import org.luaj.vm2.LuaError
import org.luaj.vm2.LuaValue
import org.luaj.vm2.Varargs
import org.luaj.vm2.compiler.LuaC
import org.luaj.vm2.lib.BaseLib
import org.luaj.vm2.lib.DebugLib
import org.luaj.vm2.lib.PackageLib
import org.luaj.vm2.lib.StringLib
import org.luaj.vm2.lib.TableLib
import org.luaj.vm2.lib.jse.JseMathLib

/** A Lua environment without access to files, other code and output, and with a limit on executed instructions. */
internal object LuaSandbox {
    private const val MAX_INSTRUCTIONS = 1_000_000
    private val removedFunctions =
        listOf("dofile", "loadfile", "load", "require", "package", "debug", "print", "collectgarbage")

    fun globals(): Globals {
        val globals = Globals()
        globals.load(BaseLib())
        globals.load(PackageLib())
        globals.load(TableLib())
        globals.load(StringLib())
        globals.load(JseMathLib())
        globals.load(InstructionLimit())
        LoadState.install(globals)
        LuaC.install(globals)
        for (name in removedFunctions) globals.set(name, LuaValue.NIL)
        // A single call of string.rep can build a string larger than the process's memory.
        globals.get("string").set("rep", LuaValue.NIL)
        return globals
    }

    /** Aborts a script after [MAX_INSTRUCTIONS], because the script may not end otherwise. */
    private class InstructionLimit : DebugLib() {
        private var remainingInstructions = MAX_INSTRUCTIONS

        override fun onInstruction(pc: Int, v: Varargs?, top: Int) {
            if (--remainingInstructions < 0) throw LuaError("the script runs for too long")
            super.onInstruction(pc, v, top)
        }
    }
}
