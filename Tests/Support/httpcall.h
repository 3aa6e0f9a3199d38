#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Testing {

/** One header field of an HttpCall. */
struct CallHeader
{
    std::string name;
    std::string value;
};

/** An HTTP request made by a test. */
struct HttpCall
{
    std::string method = "GET";
    std::string path = "/";
    std::vector<CallHeader> headers;
    std::string body;
};

/** A complete HTTP response. */
struct HttpReply
{
    int status = 0;
    /** Header values by lower-case name; the last of repeated fields is stored. */
    std::map<std::string, std::string> headers;
    std::string body;
};

/**
 * Sends one request over a new connection and waits for the complete response. Returns std::nullopt
 * on an error, after \a limit, or if the body does not have its declared length.
 */
std::optional<HttpReply> httpCall(const std::string &address, const HttpCall &call,
                                  std::chrono::milliseconds limit = std::chrono::seconds(30));

/**
 * Sends raw bytes and returns all bytes received until the peer closes the connection; std::nullopt
 * on an error or after \a limit.
 */
std::optional<std::string> rawCall(const std::string &address, const std::string &bytes,
                                   std::chrono::milliseconds limit = std::chrono::seconds(30));

} // namespace Oleander::Testing
