#pragma once

#include "base/ids.h"
#include "base/outcome.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace banyancroft::wire {

/** Number of a query or submit at its entry; unique within the entry's incarnation. */
using QueryNumber = NumberId<struct QueryNumberTag>;
/** Number of a sub-request at its entry; unique within the entry's incarnation, hedges included. */
using SequenceNumber = NumberId<struct SequenceNumberTag>;

/** First message in each direction of a connection between daemons. */
struct Hello {
    VmId vm;
    Incarnation incarnation;
    AvailabilityZone zone;
    /** Configuration version in force at the sender. */
    ConfigVersion configVersion;
    /** True for connections of the control thread, false for those of a traffic thread. */
    bool control = false;
};

struct SubrequestItem {
    SequenceNumber sequence;
    UpstreamId upstream;
    std::vector<ShardId> shards;
    /** True for the second copy of a sub-request that is late. */
    bool hedge = false;
};

/** All sub-requests of one query to the upstreams of one home. */
struct SubrequestBatch {
    QueryNumber query;
    /** Time left, in microseconds, when the message was written. */
    std::uint64_t remainingMicros = 0;
    /** W3C traceparent of the entry's span. */
    std::string traceparent;
    std::string collection;
    LayoutVersion layout;
    IndexVersion index;
    /** Condition in the query language; empty for all rows. */
    std::string where;
    /** Most rows wanted; zero for no limit. */
    std::uint64_t limit = 0;
    std::vector<SubrequestItem> items;
};

struct SubreplyItem {
    SequenceNumber sequence;
    UpstreamId upstream;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    LayoutVersion layout;
    IndexVersion index;
    /** Result rows as newline-delimited JSON; for a submit, the JSON result. */
    std::string rows;
    /** Requests queued and running at the upstream's home. */
    std::uint32_t load = 0;
    bool cold = false;
    /** Index versions that the upstream serves as far as its home knows; empty when unknown. */
    std::vector<IndexVersion> servedIndexes;
    std::vector<LayoutVersion> servedLayouts;
    /** Further text for explain; may be empty. */
    std::string detail;
    /** Time that the sub-request spent at home and upstream, in microseconds. */
    std::uint64_t elapsedMicros = 0;
};

struct SubreplyBatch {
    QueryNumber query;
    std::vector<SubreplyItem> items;
};

/** The entry no longer needs these sub-requests. No reply is sent for those that had not started. */
struct Cancel {
    QueryNumber query;
    std::vector<SequenceNumber> sequences;
};

/** A request other than a search, for one upstream; sent at most once when non-idempotent. */
struct SubmitRequest {
    QueryNumber query;
    SequenceNumber sequence;
    std::uint64_t remainingMicros = 0;
    std::string traceparent;
    UpstreamId upstream;
    std::string operation;
    IdempotencyKey key;
    /** JSON text. */
    std::string payload;
};

struct ZoneView {
    AvailabilityZone zone;
    ViewNumber view;
};

/** What the sender has in force; a peer that has less asks for the state. */
struct Digest {
    ConfigVersion configVersion;
    std::vector<ZoneView> views;
};

struct StateRequest {
    ConfigVersion knownConfigVersion;
    std::vector<ZoneView> knownViews;
};

struct EncodedView {
    AvailabilityZone zone;
    ViewNumber view;
    /** JSON text of the view as it is kept at the store. */
    std::string text;
};

/** The parts that are newer than what the StateRequest named. */
struct StateReply {
    /** JSON text of the configuration document; empty when the requester's is as new. */
    std::string config;
    std::vector<EncodedView> views;
};

/** A home asks for a promise that stands in for its lease during an outage of the store. */
struct PromiseRequest {
    AvailabilityZone zone;
    ViewNumber view;
    std::uint64_t requestNumber = 0;
};

/** The sender acknowledges no view after `view` for the given time, counted from receipt of the request. */
struct Promise {
    AvailabilityZone zone;
    ViewNumber view;
    std::uint64_t requestNumber = 0;
    std::uint64_t durationMicros = 0;
};

using Message = std::variant<Hello, SubrequestBatch, SubreplyBatch, Cancel, SubmitRequest, Digest,
    StateRequest, StateReply, PromiseRequest, Promise>;

} // namespace banyancroft::wire
