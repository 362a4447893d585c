#include "authentication.h"

#include <optional>
#include <string_view>

namespace banyancroft::gateway {

namespace {

/** The credentials of the only field with this name; empty without the field, with two, or with another
 * scheme. */
std::optional<std::string_view> apiKey(const http::FieldList& fields, const Dialect& dialect)
{
    std::optional<std::string_view> value;
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const auto field = fields.at(i);
        if (!http::equalsIgnoringCase(field.name, dialect.headers.authorization))
            continue;
        if (value)
            return std::nullopt;
        value = field.value;
    }
    if (!value)
        return std::nullopt;
    const auto schemeLength = dialect.keyScheme.size();
    if (value->size() <= schemeLength || (*value)[schemeLength] != ' '
        || !http::equalsIgnoringCase(value->substr(0, schemeLength), dialect.keyScheme))
        return std::nullopt;
    const auto begin = value->find_first_not_of(' ', schemeLength);
    return begin == std::string_view::npos ? std::nullopt : std::optional(value->substr(begin));
}

} // namespace

CallerIdentity identifyCaller(const http::FieldList& fields, const routing::RouteTable& routes,
    const routing::Route& route, const Dialect& dialect)
{
    if (!routes.configuration().requiresKeys)
        return { true, nullptr };
    const auto key = apiKey(fields, dialect);
    const auto* customer = key ? routes.customerOfKey(*key) : nullptr;
    return { customer != nullptr || route.isPublic, customer };
}

} // namespace banyancroft::gateway
