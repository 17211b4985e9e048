<#import "layout.ftlh" as l>
<@l.page hasError=true>
  <div class="summary" role="alert" tabindex="-1">
    <h2>${outcome?has_content?then(outcome, "This could not be completed")}</h2>
    <p>${message}</p>
  </div>
  <p>Traffic continues with the version in force. <a href="/console/history">The history</a> shows what was published.</p>
  <#if kept??>
  <form method="post" action="${action}">
    <@l.token/>
    <@l.hidden fields=kept/>
    <button>Back to your input</button>
  </form>
  </#if>
</@l.page>
