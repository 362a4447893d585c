#include "table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace banyancroft::ctl {

namespace {

using Json = nlohmann::ordered_json;
using Fields = std::vector<std::pair<std::string, std::string>>;

std::string formatCell(const Json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool isListOfObjects(const Json& value)
{
    return value.is_array() && !value.empty()
        && std::all_of(value.begin(), value.end(), [](const Json& row) { return row.is_object(); });
}

// Counts characters, not bytes, so that columns with UTF-8 text align.
std::size_t displayWidth(const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(),
        [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U; }));
}

void appendPadded(std::string& out, const std::string& text, std::size_t columnWidth)
{
    out += text;
    out.append(columnWidth - std::min(columnWidth, displayWidth(text)) + 2, ' ');
}

void trimAndEndLine(std::string& out)
{
    out.erase(out.find_last_not_of(' ') + 1);
    out += '\n';
}

void appendTable(std::string& out, const std::string& name, const Json& rows)
{
    std::vector<std::string> columns;
    for (const Json& row : rows) {
        for (const auto& [key, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), key) == columns.end())
                columns.push_back(key);
        }
    }
    const auto text = [](const Json& row, const std::string& column) {
        return row.contains(column) ? formatCell(row[column]) : std::string();
    };
    std::vector<std::size_t> widths;
    for (const std::string& column : columns) {
        std::size_t widest = displayWidth(column);
        for (const Json& row : rows)
            widest = std::max(widest, displayWidth(text(row, column)));
        widths.push_back(widest);
    }
    out += "\n" + name + "\n";
    for (std::size_t i = 0; i < columns.size(); ++i)
        appendPadded(out, columns[i], widths[i]);
    trimAndEndLine(out);
    for (const Json& row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i)
            appendPadded(out, text(row, columns[i]), widths[i]);
        trimAndEndLine(out);
    }
}

// Collects the scalars of nested objects under dotted names, and lists of objects as separate tables.
void flatten(const Json& object, const std::string& prefix, Fields& fields,
    std::vector<std::pair<std::string, const Json*>>& tables)
{
    for (const auto& [key, value] : object.items()) {
        std::string name = prefix;
        if (!name.empty())
            name += '.';
        name += key;
        if (value.is_object()) {
            flatten(value, name, fields, tables);
        } else if (isListOfObjects(value)) {
            tables.emplace_back(name, &value);
        } else {
            fields.emplace_back(name, formatCell(value));
        }
    }
}

} // namespace

std::string renderTable(std::string_view json)
{
    const Json value = Json::parse(json, nullptr, false);
    if (!value.is_object())
        return std::string(json);
    Fields fields;
    std::vector<std::pair<std::string, const Json*>> tables;
    flatten(value, "", fields, tables);
    std::size_t widest = 0;
    for (const auto& [name, text] : fields)
        widest = std::max(widest, displayWidth(name));
    std::string out;
    for (const auto& [name, text] : fields) {
        appendPadded(out, name, widest);
        out += text;
        trimAndEndLine(out);
    }
    for (const auto& [name, rows] : tables)
        appendTable(out, name, *rows);
    return out;
}

} // namespace banyancroft::ctl
