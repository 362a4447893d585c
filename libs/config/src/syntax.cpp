#include "syntax.h"

#include "config/document_json.h"

#include <nlohmann/json.hpp>

#include <set>
#include <vector>

namespace banyancroft::config {

namespace {

// Longest part of a key that an error message quotes.
constexpr std::size_t maxQuotedTokenBytes = 64;

// An object or array that encloses the current position.
struct Container {
    bool isArray = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string> keys;
};

// Receives the parse events and tracks the position for error messages.
class SyntaxChecker : public nlohmann::json_sax<nlohmann::json> {
public:
    explicit SyntaxChecker(Error& reason)
        : reason_(reason)
    {
    }

    bool null() override { return endValue(); }
    bool boolean(bool /*unused*/) override { return endValue(); }
    bool number_integer(number_integer_t /*unused*/) override { return endValue(); }
    bool number_unsigned(number_unsigned_t /*unused*/) override { return endValue(); }
    bool number_float(number_float_t /*unused*/, const string_t& /*unused*/) override { return endValue(); }
    bool string(string_t& /*unused*/) override { return endValue(); }
    bool binary(binary_t& /*unused*/) override { return endValue(); }
    bool start_object(std::size_t /*unused*/) override { return openContainer(false); }
    bool start_array(std::size_t /*unused*/) override { return openContainer(true); }
    bool end_object() override { return closeContainer(); }
    bool end_array() override { return closeContainer(); }

    bool key(string_t& name) override
    {
        Container& container = openContainers_.back();
        container.key = name;
        if (container.keys.insert(name).second)
            return true;
        reason_ = { ErrorKind::InvalidInput, pointer() + ": the key appears twice in the same object",
            "remove one of the two" };
        return false;
    }

    bool parse_error(std::size_t /*unused*/, const std::string& /*unused*/,
        const nlohmann::json::exception& error) override
    {
        // The library's message has line and column after a "[json.exception…]" prefix.
        std::string_view text = error.what();
        const std::size_t prefix = text.find("] ");
        text.remove_prefix(prefix == std::string_view::npos ? 0 : prefix + 2);
        reason_ = { ErrorKind::InvalidInput, "not JSON: " + std::string(text),
            "correct the JSON text at this position" };
        return false;
    }

private:
    bool openContainer(bool isArray)
    {
        if (openContainers_.size() >= maxDocumentNesting) {
            reason_ = { ErrorKind::InvalidInput,
                pointer() + ": nested deeper than " + std::to_string(maxDocumentNesting) + " levels",
                "follow the format in docs/query-path.md, section 3.4" };
            return false;
        }
        openContainers_.push_back({ isArray, 0, {}, {} });
        return true;
    }

    bool closeContainer()
    {
        openContainers_.pop_back();
        return endValue();
    }

    bool endValue()
    {
        if (!openContainers_.empty())
            ++openContainers_.back().index;
        return true;
    }

    std::string pointer() const
    {
        std::string text;
        for (const Container& container : openContainers_)
            text = childPointer(text, container.isArray ? std::to_string(container.index) : container.key);
        return text.empty() ? "/" : text;
    }

    Error& reason_;
    std::vector<Container> openContainers_;
};

} // namespace

std::string childPointer(std::string_view pointer, std::string_view token)
{
    std::string child(pointer);
    child += '/';
    for (char character : token.substr(0, maxQuotedTokenBytes)) {
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
