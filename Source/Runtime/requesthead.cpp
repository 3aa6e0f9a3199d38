#include "Runtime/requesthead.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace Oleander {

namespace {

// Long enough for the request lines and the field names that are evaluated.
constexpr std::size_t MaxRequestLine = 1'024;
constexpr std::size_t MaxFieldLine = 64;
constexpr int Hexadecimal = 16;

bool startsWithIgnoringCase(std::string_view text, std::string_view start)
{
    return text.size() >= start.size() && strncasecmp(text.data(), start.data(), start.size()) == 0;
}

std::size_t numberIn(std::string_view text, int base)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return 0;
    std::size_t number = 0;
    std::from_chars(text.data() + first, text.data() + text.size(), number, base);
    return number;
}

} // namespace

void RequestHead::feed(std::string_view bytes)
{
    while (!bytes.empty() && part_ != Part::Done) {
        if (part_ == Part::Body || part_ == Part::ChunkData) {
            bytes.remove_prefix(feedBody(bytes));
            continue;
        }
        const auto end = bytes.find('\n');
        const std::string_view text = bytes.substr(0, end);
        const std::size_t limit = part_ == Part::RequestLine ? MaxRequestLine : MaxFieldLine;
        line_.append(text.substr(0, limit - std::min(limit, line_.size())));
        lineBytes_ += text.size();
        if (end == std::string_view::npos)
            return;
        bytes.remove_prefix(end + 1);
        endLine();
    }
}

std::size_t RequestHead::feedBody(std::string_view bytes)
{
    if (part_ == Part::Body) {
        bodyBytes_ += bytes.size();
        return bytes.size();
    }
    const std::size_t taken = std::min(bytes.size(), chunkLeft_);
    bodyBytes_ += taken;
    chunkLeft_ -= taken;
    if (chunkLeft_ == 0)
        part_ = Part::ChunkSize;
    return taken;
}

void RequestHead::endLine()
{
    const bool isEmpty = lineBytes_ == 0 || (lineBytes_ == 1 && line_ == "\r");
    constexpr std::string_view Length = "Content-Length:";
    constexpr std::string_view Encoding = "Transfer-Encoding:";
    switch (part_) {
    case Part::RequestLine:
        if (lineBytes_ == line_.size())
            requestLine_ = line_;
        part_ = Part::Fields;
        break;
    case Part::Fields:
        if (isEmpty) {
            part_ = isChunked_ ? Part::ChunkSize : Part::Body;
            break;
        }
        ++fields_;
        if (startsWithIgnoringCase(line_, Length))
            declared_ = numberIn(std::string_view(line_).substr(Length.size()), 10);
        isChunked_ = isChunked_ || startsWithIgnoringCase(line_, Encoding);
        break;
    case Part::ChunkSize:
        // evhttp too skips empty lines here. What it does not accept as a size counts as the end,
        // so that the fields of a trailer are never taken for the data of a chunk.
        if (isEmpty)
            break;
        chunkLeft_ = numberIn(line_, Hexadecimal);
        part_ = chunkLeft_ == 0 ? Part::Trailer : Part::ChunkData;
        break;
    case Part::Trailer:
        if (isEmpty)
            part_ = Part::Done;
        else
            ++fields_;
        break;
    default:
        break;
    }
    line_.clear();
    lineBytes_ = 0;
}

std::string_view RequestHead::method() const
{
    return std::string_view(requestLine_).substr(0, requestLine_.find(' '));
}

std::string_view RequestHead::path() const
{
    const auto begin = requestLine_.find(' ');
    if (begin == std::string::npos)
        return {};
    const auto end = requestLine_.find_first_of(" ?\r", begin + 1);
    return std::string_view(requestLine_).substr(begin + 1, end - begin - 1);
}

} // namespace Oleander
