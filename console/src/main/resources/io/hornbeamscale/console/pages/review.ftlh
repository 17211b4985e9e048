<#import "layout.ftlh" as l>
<@l.page hasError=(problem?has_content)>
  <#if problem?has_content>
  <div class="summary" role="alert" tabindex="-1">
    <h2>Nothing was published yet</h2>
    <ul><li><#if problem == "why"><a href="#why">Say why.</a><#else><a href="#accept">Accept the warnings.</a></#if></li></ul>
  </div>
  </#if>
  <h2>Changes to version ${expect}</h2>
  <@l.changes lines=lines empty=newKey?then("Only the key changes.", "No differences: there is nothing to publish.")/>
  <#if newKey><p>A new key will be generated and shown once.</p></#if>
  <@l.warnings lines=warnings/>
  <#if lines?has_content || newKey>
  <form method="post" action="/console/${section.key}/publish" novalidate>
    <@l.token/>
    <input type="hidden" name="expect" value="${expect}">
    <@l.hidden fields=kept/>
    <@l.reason why=why problem=problem isAccepted=isAccepted hasWarnings=(warnings?has_content)/>
    <div class="buttons">
      <button>Publish as version ${expect + 1}</button>
      <button class="quiet" formaction="/console/${section.key}/form">Back to the form</button>
    </div>
  </form>
  <#else>
  <p><a href="/console/${section.key}">Back to ${section.title}</a></p>
  </#if>
</@l.page>
