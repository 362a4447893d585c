#include "membership/view.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace banyancroft::membership {

namespace {

using Json = nlohmann::json;

/** Reads the fields of a JSON document; after the first error, further reads return empty values. */
class Reader {
public:
    Reader(std::string_view documentName, Error& reason)
        : documentName_(documentName)
        , reason_(reason)
    {
    }

    bool failed() const { return failed_; }

    std::optional<Json> parse(std::string_view text)
    {
        if (text.size() > maxDocumentBytes) {
            fail("has " + std::to_string(text.size()) + " bytes, more than the limit of 1 MiB");
            return std::nullopt;
        }
        Json json = Json::parse(text, nullptr, false);
        if (!json.is_object()) {
            fail("is not a JSON object");
            return std::nullopt;
        }
        return json;
    }

    const Json* field(const Json& object, const char* name)
    {
        if (failed_)
            return nullptr;
        auto found = object.is_object() ? object.find(name) : object.end();
        if (found == object.end()) {
            fail(std::string("has no field ") + name);
            return nullptr;
        }
        return &*found;
    }

    std::string text(const Json& object, const char* name)
    {
        const Json* value = field(object, name);
        return value == nullptr ? std::string() : textOf(*value, name);
    }

    std::string textOf(const Json& value, const char* name)
    {
        if (failed_)
            return {};
        if (!value.is_string() || value.get_ref<const std::string&>().empty()
            || value.get_ref<const std::string&>().size() > maxNameBytes) {
            fail(std::string(name) + " must be a string of 1 to 256 bytes");
            return {};
        }
        return value.get<std::string>();
    }

    std::uint64_t number(const Json& object, const char* name,
        std::uint64_t highest = std::numeric_limits<std::uint64_t>::max())
    {
        const Json* value = field(object, name);
        if (value == nullptr)
            return 0;
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() > highest) {
            fail(std::string(name) + " must be an integer from 0 to " + std::to_string(highest));
            return 0;
        }
        return value->get<std::uint64_t>();
    }

    bool flag(const Json& object, const char* name)
    {
        const Json* value = field(object, name);
        if (value == nullptr)
            return false;
        if (!value->is_boolean())
            fail(std::string(name) + " must be true or false");
        return value->is_boolean() && value->get<bool>();
    }

    const Json& list(const Json& object, const char* name)
    {
        static const Json none = Json::array();
        const Json* value = field(object, name);
        if (value == nullptr)
            return none;
        if (!value->is_array() || value->size() > maxMembers) {
            fail(std::string(name) + " must be an array of at most " + std::to_string(maxMembers)
                + " elements");
            return none;
        }
        return *value;
    }

    void fail(const std::string& problem)
    {
        if (failed_)
            return;
        failed_ = true;
        reason_ = { ErrorKind::MalformedMessage, std::string(documentName_) + " " + problem,
            "check the version of the daemon that wrote it" };
    }

private:
    std::string_view documentName_;
    Error& reason_;
    bool failed_ = false;
};

Json toJson(const Member& member)
{
    return { { "vm", member.vm.str() }, { "incarnation", member.incarnation.value },
        { "address", member.address }, { "joined", member.joined.value }, { "listed", member.listed } };
}

Json toJson(const std::vector<Member>& members)
{
    Json list = Json::array();
    for (const Member& member : members)
        list.push_back(toJson(member));
    return list;
}

std::vector<Member> readMembers(Reader& reader, const Json& object, const char* name)
{
    std::vector<Member> members;
    for (const Json& entry : reader.list(object, name)) {
        Member member;
        member.vm = VmId(reader.text(entry, "vm"));
        member.incarnation = { reader.number(entry, "incarnation") };
        member.address = reader.text(entry, "address");
        member.joined = { reader.number(entry, "joined") };
        member.listed = reader.flag(entry, "listed");
        members.push_back(std::move(member));
    }
    return members;
}

bool vmsAreUnique(const std::vector<Member>& members)
{
    std::set<std::string_view> names;
    return std::all_of(members.begin(), members.end(),
        [&](const Member& member) { return names.insert(member.vm.view()).second; });
}

} // namespace

const Member* View::find(const VmId& vm) const
{
    auto found
        = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.vm == vm; });
    return found == members.end() ? nullptr : &*found;
}

const Member* View::find(const VmId& vm, Incarnation incarnation) const
{
    const Member* member = find(vm);
    return member != nullptr && member->incarnation == incarnation ? member : nullptr;
}

const Member* View::findDeparting(const VmId& vm, Incarnation incarnation) const
{
    auto found = std::find_if(departing.begin(), departing.end(),
        [&](const Member& member) { return member.vm == vm && member.incarnation == incarnation; });
    return found == departing.end() ? nullptr : &*found;
}

std::string serialize(const View& view)
{
    Json settled = Json::array();
    for (const VmId& vm : view.settled)
        settled.push_back(vm.str());
    const Json json { { "zone", view.zone.str() }, { "number", view.number.value },
        { "members", toJson(view.members) }, { "departing", toJson(view.departing) }, { "settled", settled },
        { "last_removal", view.lastRemoval.value } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<View> parseView(std::string_view text, Error& reason)
{
    Reader reader("view", reason);
    const auto json = reader.parse(text);
    if (!json)
        return std::nullopt;
    View view;
    view.zone = AvailabilityZone(reader.text(*json, "zone"));
    view.number = { reader.number(*json, "number") };
    view.members = readMembers(reader, *json, "members");
    view.departing = readMembers(reader, *json, "departing");
    for (const Json& vm : reader.list(*json, "settled"))
        view.settled.emplace_back(reader.textOf(vm, "settled"));
    view.lastRemoval = { reader.number(*json, "last_removal") };
    if (!view.number)
        reader.fail("has number 0, but numbers start at 1");
    if (!vmsAreUnique(view.members))
        reader.fail("lists the same VM twice in members");
    if (reader.failed())
        return std::nullopt;
    return view;
}

std::string serialize(const MemberRecord& record)
{
    Json inFlight = Json::object();
    for (const InFlight& entry : record.inFlight)
        inFlight[entry.upstream.str()] = entry.count;
    const Json json { { "vm", record.vm.str() }, { "incarnation", record.incarnation.value },
        { "address", record.address }, { "acknowledged", record.acknowledged.value },
        { "intent", record.intent == Intent::Join ? "join" : "leave" }, { "listed", record.listed },
        { "in_flight", inFlight } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<MemberRecord> parseMemberRecord(std::string_view text, Error& reason)
{
    Reader reader("member record", reason);
    const auto json = reader.parse(text);
    if (!json)
        return std::nullopt;
    MemberRecord record;
    record.vm = VmId(reader.text(*json, "vm"));
    record.incarnation = { reader.number(*json, "incarnation") };
    record.address = reader.text(*json, "address");
    record.acknowledged = { reader.number(*json, "acknowledged") };
    const std::string intent = reader.text(*json, "intent");
    if (intent != "join" && intent != "leave")
        reader.fail("intent must be join or leave");
    record.intent = intent == "leave" ? Intent::Leave : Intent::Join;
    record.listed = reader.flag(*json, "listed");
    const Json* inFlight = reader.field(*json, "in_flight");
    if (inFlight != nullptr && !inFlight->is_object())
        reader.fail("in_flight must be an object");
    if (reader.failed())
        return std::nullopt;
    for (const auto& [upstream, count] : inFlight->items()) {
        const auto highest = std::numeric_limits<unsigned>::max();
        const auto value = reader.number(*inFlight, upstream.c_str(), highest);
        record.inFlight.push_back({ UpstreamId(upstream), static_cast<unsigned>(value) });
    }
    if (reader.failed())
        return std::nullopt;
    return record;
}

} // namespace banyancroft::membership
