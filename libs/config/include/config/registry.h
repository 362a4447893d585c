#pragma once

#include "base/time.h"
#include "config/document.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace banyancroft::config {

/** Where a document came from. */
enum class DocumentSource : std::uint8_t { Store, Peer };

/** What became of an offered document. */
enum class OfferResult : std::uint8_t {
    /** It is newer and in force now. */
    Adopted,
    /** It is the one in force. */
    Same,
    /** It is older; the one in force stays. */
    Older,
    /** Same version, other content; the one in force stays. Operators have to be told. */
    DivergedKept,
    /** Same version, other content; the offered one is in force now. Operators have to be told. */
    DivergedReplaced,
};

/**
 * The configuration in force at one daemon: only a higher version replaces it.
 *
 * Two documents with the same version exist only after the store went back and was edited there. Then
 * the one with the greater JSON text stays, so that all daemons choose the same one without a message.
 * Owned by the control thread; cannot fail.
 */
class ConfigurationRegistry {
public:
    OfferResult offer(Document document, DocumentSource source, TimePoint now);

    /** Null before the first document. */
    const std::shared_ptr<const Document>& document() const { return document_; }
    ConfigVersion version() const { return document_ ? document_->version : ConfigVersion {}; }
    /** JSON text of the document in force; empty before the first one. */
    const std::string& text() const { return text_; }

    /** True when the store last returned less than what is in force: write it there again, and alarm. */
    bool storeBehind() const { return storeBehindSince_.has_value(); }
    /** Since when the store is behind; empty when it is not. */
    std::optional<TimePoint> storeBehindSince() const { return storeBehindSince_; }
    /** Documents with the version in force but other content that were seen so far. */
    std::uint64_t divergences() const { return divergences_; }
    /** When the document in force was adopted. */
    TimePoint adoptedAt() const { return adoptedAt_; }

private:
    OfferResult adoptIfNewer(Document document, TimePoint now);

    std::shared_ptr<const Document> document_;
    std::string text_;
    TimePoint adoptedAt_ {};
    std::optional<TimePoint> storeBehindSince_;
    std::uint64_t divergences_ = 0;
};

} // namespace banyancroft::config
