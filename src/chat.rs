//! The chat completions protocol: requests of callers, and answers to them.

use std::sync::Arc;

use serde_json::{Value, json};

use crate::{
    affinity, clock,
    ids::{ModelId, RequestId},
    refusal,
    sheet::{Service, Sheet},
    stream::End,
    verdict::{Reason, RequestError},
};

/// Last event of a whole stream.
pub const DONE: &str = "data: [DONE]\n\n";
/// Bytes at the start of a prompt that decide on its worker.
const PROMPT_BYTES: usize = 16 << 10;

/// A checked request of a caller.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Model that answers it.
    pub model: ModelId,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Body for the engine; asks for a stream.
    pub body: Arc<Value>,
    /// Hashes of the prompt's blocks, from its start.
    pub blocks: Arc<[u64]>,
}

impl ChatRequest {
    /// Parses and checks a body. `model` may name a model or a service that a model answers.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the field and what is wrong with it.
    pub fn parse(bytes: &[u8], sheet: &Sheet) -> Result<Self, RequestError> {
        let mut body: Value = serde_json::from_slice(bytes)
            .map_err(|e| invalid(format!("the body is not JSON: {e}")))?;
        let Some(fields) = body.as_object_mut() else {
            return Err(invalid("the body is not a JSON object"));
        };
        let messages = check_messages(fields.get("messages"))?;
        let blocks = affinity::blocks(&prompt(messages)).into();
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(invalid("field 'stream' is not true or false")),
        };
        let Some(name) = fields.get("model").and_then(Value::as_str) else {
            return Err(invalid("field 'model' is missing or not a text"));
        };
        let model = find_model(name, sheet)?;
        fields.insert("model".into(), Value::from(&*model));
        fields.insert("stream".into(), Value::Bool(true));
        Ok(Self {
            model,
            stream,
            body: Arc::new(body),
            blocks,
        })
    }
}

fn check_messages(messages: Option<&Value>) -> Result<&[Value], RequestError> {
    let Some(messages) = messages.and_then(Value::as_array) else {
        return Err(invalid("field 'messages' is missing or not a list"));
    };
    if messages.is_empty() {
        return Err(invalid("field 'messages' is empty"));
    }
    let whole = |m: &Value| m.get("role").is_some_and(Value::is_string);
    if !messages.iter().all(whole) {
        return Err(invalid("field 'messages' has an entry without a role"));
    }
    Ok(messages)
}

/// Returns the start of the text that an engine reads: the contents of the messages, one a line.
fn prompt(messages: &[Value]) -> String {
    let mut text = String::new();
    for message in messages {
        if text.len() >= PROMPT_BYTES {
            break;
        }
        match &message["content"] {
            Value::String(content) => text.push_str(content),
            Value::Array(parts) => {
                let texts = parts.iter().filter_map(|p| p["text"].as_str());
                text.extend(texts);
            }
            _ => {}
        }
        text.push('\n');
    }
    text
}

fn find_model(name: &str, sheet: &Sheet) -> Result<ModelId, RequestError> {
    if let Some((model, _)) = sheet.models.get_key_value(name) {
        return Ok(model.clone());
    }
    if let Some(Service::Model(model)) = sheet.services.get(name) {
        return Ok(model.clone());
    }
    let message = format!("no model '{name}'");
    Err(RequestError::not_run(Reason::NotFound, message))
}

fn invalid(message: impl Into<Arc<str>>) -> RequestError {
    RequestError::not_run(Reason::Invalid, message)
}

/// Writes the answer to one request in the form of the protocol.
#[derive(Debug, Clone)]
pub struct Answer {
    id: RequestId,
    model: ModelId,
    created: u64,
}

impl Answer {
    /// Builds the writer for a request that begins now.
    pub fn new(id: RequestId, model: ModelId) -> Self {
        Self {
            id,
            model,
            created: clock::unix_time().as_secs(),
        }
    }

    /// Returns the event that carries a piece of text.
    pub fn text_event(&self, text: &str, first: bool) -> String {
        let mut delta = json!({ "content": text });
        if first {
            delta["role"] = "assistant".into();
        }
        self.chunk(delta, Value::Null)
    }

    /// Returns the events that end a whole stream.
    pub fn end_events(&self, end: &End) -> String {
        let mut events = self.chunk(json!({}), Value::from(&*end.finish));
        events.push_str(DONE);
        events
    }

    /// Returns the whole answer.
    pub fn whole(&self, text: &str, end: &End) -> String {
        json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion",
            "created": self.created,
            "model": &*self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": &*end.finish,
            }],
            "usage": { "completion_tokens": end.tokens },
        })
        .to_string()
    }

    /// Returns the events of a stored whole answer; nothing when it is not one.
    pub fn replay(&self, stored: &str) -> Option<String> {
        let stored: Value = serde_json::from_str(stored).ok()?;
        let choice = stored.get("choices")?.get(0)?;
        let text = choice.get("message")?.get("content")?.as_str()?;
        let end = End {
            finish: choice.get("finish_reason")?.as_str()?.into(),
            tokens: stored.get("usage")?.get("completion_tokens")?.as_u64()?,
        };
        let events = [self.text_event(text, true), self.end_events(&end)];
        Some(events.concat())
    }

    fn chunk(&self, delta: Value, finish: Value) -> String {
        let chunk = json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": &*self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        format!("data: {chunk}\n\n")
    }
}

/// Returns the event that ends a stream which is not whole.
pub fn error_event(error: &RequestError) -> String {
    format!("data: {}\n\n", refusal::body(error))
}

/// Returns the list of models of a sheet.
pub fn models(sheet: &Sheet) -> String {
    let mut names: Vec<&ModelId> = sheet.models.keys().collect();
    names.sort();
    let entry = |name: &&ModelId| json!({ "id": &***name, "object": "model", "created": 0, "owned_by": &*sheet.deployment });
    let data: Vec<Value> = names.iter().map(entry).collect();
    json!({ "object": "list", "data": data }).to_string()
}
