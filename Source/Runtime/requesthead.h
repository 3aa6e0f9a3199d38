#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Oleander {

/**
 * \class RequestHead
 * \brief Follows the bytes of one HTTP request without buffering them: finds method and path, the
 * declared length of the body, and the number of header and trailer fields.
 *
 * Checks nothing: the HTTP library rejects malformed requests.
 */
class RequestHead
{
public:
    /** Continues with \a bytes; bytes behind the end of the request are ignored. */
    void feed(std::string_view bytes);
    /** Starts with the next request. */
    void reset() { *this = RequestHead(); }

    bool isComplete() const { return part_ != Part::RequestLine && part_ != Part::Fields; }
    bool isChunked() const { return isChunked_; }
    std::size_t fields() const { return fields_; }
    /** Larger of the declared length of the body and of its bytes that were fed. */
    std::size_t bodyBytes() const { return declared_ > bodyBytes_ ? declared_ : bodyBytes_; }
    /** Method and path without the query; empty if the request line is longer than 1,024 bytes. */
    std::string_view method() const;
    std::string_view path() const;

private:
    enum class Part { RequestLine, Fields, Body, ChunkSize, ChunkData, Trailer, Done };

    std::size_t feedBody(std::string_view bytes);
    void endLine();

    Part part_ = Part::RequestLine;
    /** Beginning of the current line. */
    std::string line_;
    std::string requestLine_;
    std::size_t lineBytes_ = 0;
    std::size_t fields_ = 0;
    std::size_t declared_ = 0;
    std::size_t bodyBytes_ = 0;
    std::size_t chunkLeft_ = 0;
    bool isChunked_ = false;
};

} // namespace Oleander
