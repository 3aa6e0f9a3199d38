#include "Runtime/httpmethod.h"

#include "Base/nametable.h"

namespace Oleander {

namespace {

constexpr NameTable<evhttp_cmd_type, 7> MethodNames = {{
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_PATCH, "PATCH"},
}};

} // namespace

std::string_view httpMethodName(evhttp_cmd_type method)
{
    return nameIn(MethodNames, method);
}

std::optional<evhttp_cmd_type> httpMethod(std::string_view name)
{
    return valueIn(MethodNames, name);
}

std::uint16_t allHttpMethods()
{
    unsigned mask = 0;
    for (const auto &row : MethodNames)
        mask |= row.value;
    return static_cast<std::uint16_t>(mask);
}

} // namespace Oleander
