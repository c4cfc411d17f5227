package glenspool.http

import java.io.IOException
import java.io.InputStream
import java.net.Socket

internal fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

internal fun Socket.sendGet(path: String, fields: String = "") = send("GET $path HTTP/1.1\r\nHost: x\r\n$fields\r\n")

/** A response as the client reads it from its socket. */
internal class RawResponse(val status: Int, val head: String, val body: String)

/** Reads one response with a `Content-Length`. */
internal fun InputStream.readResponse(): RawResponse {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val byte = read()
        check(byte >= 0) { "the connection ended within the header: $head" }
        head.append(byte.toChar())
    }
    val length = head.lines().first { it.startsWith("Content-Length: ") }.substringAfter(": ").toInt()
    val status = head.split(' ')[1].toInt()
    return RawResponse(status, head.toString(), String(readNBytes(length)))
}

/** Sends a GET request. Returns true if a response arrives, and false if the connection is closed instead. */
internal fun Socket.isAnswered(path: String): Boolean =
    try {
        sendGet(path)
        getInputStream().read() >= 0
    } catch (e: IOException) {
        // The server has closed the connection.
        false
    }
