#include "syntax.h"

#include "config/document_json.h"

#include <nlohmann/json.hpp>

#include <set>
#include <vector>

namespace banyancroft::config {

namespace {

// Longest part of an unknown key that an error message repeats.
constexpr std::size_t maxQuotedToken = 64;

// One open object or array on the way to the current value.
struct Level {
    bool isArray = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string> keys;
};

class SyntaxChecker : public nlohmann::json_sax<nlohmann::json> {
public:
    explicit SyntaxChecker(Error& reason)
        : reason_(reason)
    {
    }

    bool null() override { return value(); }
    bool boolean(bool /*unused*/) override { return value(); }
    bool number_integer(number_integer_t /*unused*/) override { return value(); }
    bool number_unsigned(number_unsigned_t /*unused*/) override { return value(); }
    bool number_float(number_float_t /*unused*/, const string_t& /*unused*/) override { return value(); }
    bool string(string_t& /*unused*/) override { return value(); }
    bool binary(binary_t& /*unused*/) override { return value(); }
    bool start_object(std::size_t /*unused*/) override { return open(false); }
    bool start_array(std::size_t /*unused*/) override { return open(true); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& name) override
    {
        Level& level = levels_.back();
        level.key = name;
        if (level.keys.insert(name).second)
            return true;
        reason_ = { ErrorKind::InvalidInput, pointer() + ": the key appears twice in the same object",
            "remove one of the two" };
        return false;
    }

    bool parse_error(std::size_t /*unused*/, const std::string& /*unused*/,
        const nlohmann::json::exception& error) override
    {
        // The library's text carries line and column behind a "[json.exception…]" prefix.
        std::string_view text = error.what();
        const std::size_t prefix = text.find("] ");
        text.remove_prefix(prefix == std::string_view::npos ? 0 : prefix + 2);
        reason_ = { ErrorKind::InvalidInput, "not JSON: " + std::string(text),
            "correct the JSON text at this position" };
        return false;
    }

private:
    bool open(bool isArray)
    {
        if (levels_.size() >= maxDocumentNesting) {
            reason_ = { ErrorKind::InvalidInput,
                pointer() + ": nested deeper than " + std::to_string(maxDocumentNesting) + " levels",
                "follow the format in docs/query-path.md, section 3.4" };
            return false;
        }
        levels_.push_back({ isArray, 0, {}, {} });
        return true;
    }

    bool close()
    {
        levels_.pop_back();
        return value();
    }

    bool value()
    {
        if (!levels_.empty())
            ++levels_.back().index;
        return true;
    }

    std::string pointer() const
    {
        std::string text;
        for (const Level& level : levels_)
            text = childPointer(text, level.isArray ? std::to_string(level.index) : level.key);
        return text.empty() ? "/" : text;
    }

    Error& reason_;
    std::vector<Level> levels_;
};

} // namespace

std::string childPointer(std::string_view pointer, std::string_view token)
{
    std::string child(pointer);
    child += '/';
    for (char character : token.substr(0, maxQuotedToken)) {
        if (character == '~') {
            child += "~0";
        } else if (character == '/') {
            child += "~1";
        } else {
            child += character;
        }
    }
    return child;
}

bool checkSyntax(std::string_view text, Error& reason)
{
    SyntaxChecker checker(reason);
    return nlohmann::json::sax_parse(text, &checker);
}

} // namespace banyancroft::config
