#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Testing {

/** One header field of a test's call. */
struct CallHeader
{
    std::string name;
    std::string value;
};

/** One call that a test makes. */
struct HttpCall
{
    std::string method = "GET";
    std::string path = "/";
    std::vector<CallHeader> headers;
    std::string body;
};

/** One whole answer. */
struct HttpReply
{
    int status = 0;
    /** Header fields by lower-case name; the last one counts. */
    std::map<std::string, std::string> headers;
    std::string body;
};

/**
 * Makes one call over a connection of its own and waits for the whole answer; nothing when there
 * is none by the limit, or when it is cut short of its declared length.
 */
std::optional<HttpReply> httpCall(const std::string &address, const HttpCall &call,
                                  std::chrono::milliseconds limit = std::chrono::seconds(30));

/** Sends raw bytes and returns every byte that comes back before the peer closes. */
std::optional<std::string> rawCall(const std::string &address, const std::string &bytes,
                                   std::chrono::milliseconds limit = std::chrono::seconds(30));

} // namespace Oleander::Testing
