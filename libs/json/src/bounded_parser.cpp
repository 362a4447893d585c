#include "json/bounded_parser.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace banyancroft::json {

namespace {

using Json = nlohmann::json;

/** The library's text without the token that it quotes, which may be a secret or as long as the document. */
std::string withoutQuotation(std::string_view text)
{
    constexpr std::size_t maxTextBytes = 160;
    for (const std::string_view quotation : { "; last read: ", " parsing '" })
        text = text.substr(0, text.find(quotation));
    return std::string(text.substr(0, maxTextBytes));
}

/** Builds a document from the events of nlohmann's parser; throws at a limit, which ends the parser. */
class DocumentBuilder final : public nlohmann::json_sax<Json> {
public:
    Json take() { return std::move(root_); }
    const std::string& failure() const { return failure_; }

    bool null() override { return add(Json()); }
    bool boolean(bool value) override { return add(Json(value)); }
    bool number_integer(number_integer_t value) override { return add(Json(value)); }
    bool number_unsigned(number_unsigned_t value) override { return add(Json(value)); }
    bool number_float(number_float_t value, const string_t&) override { return add(Json(value)); }
    bool string(string_t& value) override { return add(Json(std::move(value))); }
    bool binary(binary_t& value) override { return add(Json(std::move(value))); }

    bool start_object(std::size_t) override { return open(Json::object()); }
    bool start_array(std::size_t) override { return open(Json::array()); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& value) override
    {
        member_ = &(*open_.back())[value];
        return true;
    }

    bool parse_error(std::size_t position, const std::string&, const Json::exception& error) override
    {
        failure_ = "position " + std::to_string(position) + ": " + withoutQuotation(error.what());
        return false;
    }

private:
    /** Stores a value where the next one belongs. The references in open_ stay valid, since only the
     * innermost container grows. */
    Json& place(Json value)
    {
        if (++values_ > maxValues)
            throw std::invalid_argument("more than " + std::to_string(maxValues) + " values");
        if (open_.empty())
            return root_ = std::move(value);
        if (open_.back()->is_object())
            return *member_ = std::move(value);
        open_.back()->push_back(std::move(value));
        return open_.back()->back();
    }

    bool add(Json value)
    {
        place(std::move(value));
        return true;
    }

    bool open(Json container)
    {
        if (open_.size() >= maxDepth)
            throw std::invalid_argument("nested deeper than " + std::to_string(maxDepth) + " levels");
        open_.push_back(&place(std::move(container)));
        return true;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    Json root_;
    /** Containers that are not complete, outermost first. */
    std::vector<Json*> open_;
    /** The value of the last key. */
    Json* member_ = nullptr;
    std::size_t values_ = 0;
    std::string failure_;
};

Json parse(std::string_view bytes, Json::input_format_t format)
{
    DocumentBuilder builder;
    if (!Json::sax_parse(bytes, &builder, format))
        throw std::invalid_argument(builder.failure());
    return builder.take();
}

} // namespace

Json parseJson(std::string_view text) { return parse(text, Json::input_format_t::json); }

Json parseMessagePack(std::string_view bytes) { return parse(bytes, Json::input_format_t::msgpack); }

} // namespace banyancroft::json
